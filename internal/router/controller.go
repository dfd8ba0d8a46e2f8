package router

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
)

func dialController(context.Context, string, message.Hello) (tableConnection, error) {
	return nil, eris.New("not yet wired")
}

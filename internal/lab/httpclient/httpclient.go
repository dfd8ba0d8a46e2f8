// Package httpclient has the HTTP client by which the lab observes and changes processes. It takes no answer with a malformed
// head or without a valid status.
package httpclient

import (
	"net"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
)

// Default is shared by all who need no settings of their own.
var Default = New()

// New returns a client with the defaults of the library.
func New() *fasthttp.Client {
	return &fasthttp.Client{Dial: dial}
}

func dial(address string) (net.Conn, error) {
	connection, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return answerhead.Guard(connection), nil
}

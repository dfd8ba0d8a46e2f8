// Command thorntiller-lab runs stand-ins, demonstrations and proofs. It is no
// part of the product.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/thorntiller/thorntiller/internal/lab/labcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := labcli.Execute(ctx, os.Args[1:])
	stop()
	os.Exit(status)
}

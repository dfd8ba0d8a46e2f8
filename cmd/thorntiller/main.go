// Command thorntiller runs the roles of the system and the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/cli"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/controller"
	"github.com/thorntiller/thorntiller/internal/gateway"
	"github.com/thorntiller/thorntiller/internal/router"
	"github.com/thorntiller/thorntiller/platform"
)

func main() {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	runners := cli.Runners{Controller: runController, Router: router.Run, Gateway: runGateway}
	os.Exit(int(cli.Execute(context.Background(), os.Args[1:], streams, runners)))
}

// runController runs a controller that takes over changes of its seeds.
func runController(ctx context.Context, settings config.Controller, log *logrus.Entry, reload func() (config.Controller, error)) error {
	return controller.RunWith(ctx, settings, log, controller.Options{Reload: reload})
}

// runGateway runs a gateway that knows the platform's dialect besides its own.
func runGateway(ctx context.Context, settings config.Gateway, log *logrus.Entry, reload func() (config.Gateway, error)) error {
	dialects := map[string]gateway.Dialect{platform.Name: platform.Dialect()}
	return gateway.Run(ctx, settings, log, gateway.Options{Dialects: dialects, Reload: reload})
}

// Command thorntiller runs the roles of the system and the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/thorntiller/thorntiller/internal/cli"
	"github.com/thorntiller/thorntiller/internal/controller"
	"github.com/thorntiller/thorntiller/internal/router"
)

func main() {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	runners := cli.Runners{Controller: controller.Run, Router: router.Run}
	os.Exit(int(cli.Execute(context.Background(), os.Args[1:], streams, runners)))
}

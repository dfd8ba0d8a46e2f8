package controller

import (
	"errors"
	"net"
	"runtime"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/overload"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

func newClientBudget(settings config.API, places func() int) *overload.Budget {
	return overload.NewBudget(overload.Limits{
		Bytes: int64(settings.RequestMemory), Connections: apiConnections(settings.MaxConnections), Places: places, Collect: runtime.GC,
	})
}

// followConnection follows the state of a client's connection.
func (a *api) followConnection(connection net.Conn, change fasthttp.ConnState) {
	intake.Follow(intake.LoadOf(connection), a.clock.Now(), change)
}

// readBody reads the body of a call before its handler runs.
func (a *api) readBody(call fiber.Ctx) error {
	context := call.RequestCtx()
	load := intake.LoadOf(context.Conn())
	err := intake.ReadJoined(context, a.settings.BodyLimit, load, a.clock)
	if err != nil {
		telemetry.WithError(a.log, telemetry.EventRequestRefused, err).WithField("path", call.Path()).
			WithField("request_memory_bytes", a.budget.Used()).Info("call rejected before its body was read")
		context.SetConnectionClose()
		return bodyFailure(err)
	}
	err = call.Next()
	intake.Answered(&context.Response, load, a.clock)
	return err
}

// bodyFailure returns the answer to a call whose body was not read whole.
func bodyFailure(err error) error {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, intake.ErrNoMemory), errors.Is(err, intake.ErrEvicted):
		return fault.New(fault.MemoryExhausted, err.Error())
	default:
		return fiber.ErrBadRequest
	}
}

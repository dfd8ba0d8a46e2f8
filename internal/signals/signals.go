package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Handler handles the signals of this process from New until Close.
type Handler struct {
	hangUps chan os.Signal
	stops   chan os.Signal
	closed  chan struct{}
	group   conc.WaitGroup
}

// New begins to handle signals. The context that it returns ends at the first SIGTERM or SIGINT, with an error that names
// the signal as its cause.
func New(parent context.Context) (*Handler, context.Context) {
	handler := &Handler{
		// One place is enough: a signal that waits stands for all changes until it is read.
		hangUps: make(chan os.Signal, 1), stops: make(chan os.Signal, 1), closed: make(chan struct{}),
	}
	signal.Notify(handler.hangUps, syscall.SIGHUP)
	signal.Notify(handler.stops, syscall.SIGTERM, syscall.SIGINT)
	// A write to a standard stream that nobody reads fails, in place of ending the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := context.WithCancelCause(parent)
	handler.group.Go(func() {
		defer stop(context.Canceled)
		handler.awaitStop(stop)
	})
	return handler, ctx
}

// awaitStop stops the process at the first signal, and ignores each further SIGTERM: a supervisor may repeat it, and the
// stop lets requests finish. A further SIGINT ends the process at once.
func (h *Handler) awaitStop(stop context.CancelCauseFunc) {
	select {
	case <-h.closed:
		return
	case received := <-h.stops:
		signal.Reset(syscall.SIGINT)
		stop(eris.Errorf("signal: %s", received))
	}
	for {
		select {
		case <-h.closed:
			return
		case <-h.stops:
		}
	}
}

// HangUps returns the channel on which each SIGHUP since New is received.
func (h *Handler) HangUps() <-chan os.Signal { return h.hangUps }

// Close ends the handling of signals. The process is about to end with a status of its own: SIGHUP and SIGTERM are
// ignored from then on.
func (h *Handler) Close() {
	signal.Ignore(syscall.SIGHUP, syscall.SIGTERM)
	signal.Stop(h.stops)
	signal.Stop(h.hangUps)
	close(h.closed)
	h.group.Wait()
}

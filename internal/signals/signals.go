package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Handler handles the signals of this process from New until Close.
type Handler struct {
	hangUps chan os.Signal
	restore context.CancelFunc
}

// New begins to handle signals. The context that it returns ends at the first SIGTERM or SIGINT.
func New(parent context.Context) (*Handler, context.Context) {
	// One place is enough: a signal that waits stands for all changes until it is read.
	handler := &Handler{hangUps: make(chan os.Signal, 1)}
	signal.Notify(handler.hangUps, syscall.SIGHUP)
	// A write to a standard stream that nobody reads fails, in place of ending the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, restore := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	handler.restore = restore
	return handler, ctx
}

// HangUps returns the channel on which each SIGHUP since New is received. It is closed by Close.
func (h *Handler) HangUps() <-chan os.Signal { return h.hangUps }

// RestoreStop lets a further SIGTERM or SIGINT end the process at once.
func (h *Handler) RestoreStop() { h.restore() }

// Close ends the handling of signals. SIGHUP is ignored from then on.
func (h *Handler) Close() {
	h.restore()
	signal.Stop(h.hangUps)
	close(h.hangUps)
}

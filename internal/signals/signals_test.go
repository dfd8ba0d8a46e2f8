package signals

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second

// TestFirstSignalIsTheCauseOfTheStop checks that a stop names its signal, and that a repeated SIGTERM changes nothing.
func TestFirstSignalIsTheCauseOfTheStop(t *testing.T) {
	handler, ctx := New(context.Background())
	defer handler.Close()
	for range 2 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(patience):
			t.Fatal("SIGTERM did not end the context")
		}
	}
	if cause := context.Cause(ctx); !strings.Contains(cause.Error(), "terminated") {
		t.Errorf("cause %v", cause)
	}
}

// TestHangUpBeforeItIsReadIsKept checks that a signal is not lost while nobody reads.
func TestHangUpBeforeItIsReadIsKept(t *testing.T) {
	handler, _ := New(context.Background())
	defer handler.Close()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-handler.HangUps():
	case <-time.After(patience):
		t.Error("SIGHUP was lost")
	}
}

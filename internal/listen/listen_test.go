package listen

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
)

func silentLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// firstLine calls a function at the first log line.
type firstLine func()

func (f firstLine) Levels() []logrus.Level { return logrus.AllLevels }

func (f firstLine) Fire(*logrus.Entry) error {
	f()
	return nil
}

func TestWaitsForAnAddress(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := silentLog()
	log.Logger.AddHook(firstLine(func() { _ = holder.Close() }))
	listener, err := TCP(context.Background(), holder.Addr().String(), log)
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}

func TestWaitEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	log := silentLog()
	log.Logger.AddHook(firstLine(cancel))
	// An address for documentation, which no machine has.
	if _, err := TCP(ctx, "192.0.2.1:80", log); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

func TestErrorThatDoesNotPass(t *testing.T) {
	if _, err := TCP(context.Background(), "127.0.0.1:99999", silentLog()); err == nil {
		t.Error("listening at a port that does not exist")
	}
}

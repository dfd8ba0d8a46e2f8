package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// DefaultMaxConnections applies if Server.MaxConnections is zero.
const DefaultMaxConnections = 1024

// acceptRetryDelay is the wait after a failed accept, for example when file
// descriptors have run out.
const acceptRetryDelay = 20 * time.Millisecond

// Server accepts connections. Set the fields before Serve.
type Server struct {
	Options Options
	// MaxConnections bounds the open connections; excess ones are closed at once.
	MaxConnections int
	// Panicked, if set, is called with each panic recovered from a handler. The
	// connection is closed and the server continues.
	Panicked func(*panics.Recovered)

	mutex   sync.Mutex
	open    map[*Conn]struct{}
	refused atomic.Uint64
}

// Serve accepts connections until the context ends, and runs the handler for
// each on its own goroutine; the connection is closed when the handler returns.
// Serve owns the listener. Once the context has ended, it closes all connections
// and returns nil after all handlers have returned. It must be called only once.
func (s *Server) Serve(ctx context.Context, listener net.Listener, handler func(context.Context, *Conn)) error {
	ctx, cancel := context.WithCancel(ctx)
	s.mutex.Lock()
	s.open = map[*Conn]struct{}{}
	s.mutex.Unlock()
	var running conc.WaitGroup
	running.Go(func() {
		<-ctx.Done()
		_ = listener.Close() // closed only to end Accept
		s.closeAll()
	})
	err := s.accept(ctx, listener, &running, handler)
	cancel()
	running.Wait()
	return err
}

func (s *Server) accept(ctx context.Context, listener net.Listener, running *conc.WaitGroup, handler func(context.Context, *Conn)) error {
	for {
		stream, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = stream.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "accept connections")
		}
		if err != nil {
			sleep(ctx, acceptRetryDelay)
			continue
		}
		connection := NewConn(stream, s.Options)
		if !s.admit(ctx, connection) {
			s.refused.Add(1)
			connection.Close()
			continue
		}
		running.Go(func() { s.handle(ctx, connection, handler) })
	}
}

// admit registers a connection unless the limit is reached or the server is stopping.
func (s *Server) admit(ctx context.Context, connection *Conn) bool {
	limit := s.MaxConnections
	if limit <= 0 {
		limit = DefaultMaxConnections
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ctx.Err() != nil || len(s.open) >= limit {
		return false
	}
	s.open[connection] = struct{}{}
	return true
}

func (s *Server) handle(ctx context.Context, connection *Conn, handler func(context.Context, *Conn)) {
	recovered := panics.Try(func() { handler(ctx, connection) })
	connection.Close()
	s.mutex.Lock()
	delete(s.open, connection)
	s.mutex.Unlock()
	if recovered != nil && s.Panicked != nil {
		s.Panicked(recovered)
	}
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.open {
		connection.Close()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// Refused returns how many connections were closed because of MaxConnections.
func (s *Server) Refused() uint64 { return s.refused.Load() }

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

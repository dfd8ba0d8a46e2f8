package router

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/state"
)

// refusingServer refuses a number of requests and answers the others. It records their identifiers.
type refusingServer struct {
	refusals int
	mutex    sync.Mutex
	ids      []string
}

func (s *refusingServer) serve(context *fasthttp.RequestCtx) {
	id := string(context.Request.Header.Peek(backendapi.HeaderRequestID))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ids = append(s.ids, id)
	context.Response.Header.Set(backendapi.HeaderRequestID, id)
	if len(s.ids) <= s.refusals {
		context.Response.Header.Set(backendapi.HeaderRefusal, string(backendapi.RefusalShedding))
		context.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// startServer serves a handler on a loopback port, and returns its address.
func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = fasthttp.Serve(listener, handler)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

// TestAttemptsOfARequestHaveTheirOwnIdentifiers guards against an answer to one attempt of a request that is taken for
// that to a later one, on whatever connections they are made.
func TestAttemptsOfARequestHaveTheirOwnIdentifiers(t *testing.T) {
	back := &refusingServer{refusals: 2}
	address := startServer(t, back.serve)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	router := New(config.DefaultRouter(), logrus.NewEntry(logger), Options{})
	defer router.endLifetime()
	service := &state.Service{Name: "service", Mode: state.ModeManaged, DefaultTimeout: 10 * time.Second, QueueLimit: 10, RequestLimit: 10, RetryRatio: 1, Revision: 1}
	objects := []state.Object{{Service: service}}
	for _, id := range []state.ServerID{"s1", "s2", "s3"} {
		objects = append(objects, state.Object{Server: &state.Server{
			ID: id, Service: "service", Address: address, Slots: 4, Connections: 8, Intent: state.ServerActive,
			Session: state.Session{Incarnation: "i1", Open: true}, Revision: 1,
		}})
	}
	digest := uint64(0)
	for _, object := range objects {
		digest ^= state.ObjectDigest(object)
	}
	if complete, err := router.builder.ApplySnapshot(message.TableSnapshot{Cluster: "c", Revision: 1, Digest: digest, Objects: objects, First: true, Last: true}); err != nil || !complete {
		t.Fatal(complete, err)
	}
	router.freshness.Observe(message.Pong{SentNs: int64(router.clock.Now()), Revision: 1}, 1)
	exchange := &Exchange{ID: "request", Target: "/p", Answer: &fasthttp.Response{}, Inbound: &fasthttp.Request{}, service: service,
		Request: dispatch.Request{Service: "service", Repeatable: true, Deadline: router.clock.Now() + 10*time.Second}}
	exchange.suspicion.Identify = func() quarantine.Request { return quarantine.Request{} }
	if err := router.newExecutor().run(context.Background(), exchange); err != nil {
		t.Fatalf("%v after attempts %q", err, back.ids)
	}
	seen := make(map[string]bool)
	for _, id := range back.ids {
		if seen[id] {
			t.Errorf("identifier %q was sent twice", id)
		}
		seen[id] = true
	}
	if want := back.refusals + 1; len(back.ids) != want {
		t.Errorf("%d attempts, want %d", len(back.ids), want)
	}
}

package router

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestAnswersOfAStoppingRouterCloseTheirConnections guards against connections that stay open
// and are cut off at the end of the stop, possibly during a request. It covers refusals and
// answers of back ends.
func TestAnswersOfAStoppingRouterCloseTheirConnections(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	handlers := map[string]Handler{
		"answer of a back end": func(_ context.Context, exchange *Exchange) error {
			exchange.Answer.SetBodyString("whole")
			return nil
		},
		"refusal": func(context.Context, *Exchange) error { return fault.New(fault.NoOwner, "none") },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			router := New(config.DefaultRouter(), logrus.NewEntry(logger), Options{})
			defer router.endLifetime()
			router.handler = handler
			for _, stopping := range []bool{false, true} {
				router.stopping.Store(stopping)
				inbound := &fasthttp.RequestCtx{}
				inbound.Request.SetRequestURI("/service/path")
				router.serve(inbound)
				if closes := inbound.Response.ConnectionClose(); closes != stopping {
					t.Errorf("stopping %v: the answer closes its connection: %v", stopping, closes)
				}
				if hint := string(inbound.Response.Header.Peek(callerapi.HeaderKeepAlive)); (hint == "timeout=2") == stopping {
					t.Errorf("stopping %v: the answer's Keep-Alive is %q", stopping, hint)
				}
			}
		})
	}
}

// TestServicesThatAreNotRoutedAreRefused covers a service that is not in the settings, which is
// refused whether it exists or not, and one that is in the settings but does not exist.
func TestServicesThatAreNotRoutedAreRefused(t *testing.T) {
	settings := config.DefaultRouter()
	settings.Services = []string{"routed"}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	router := New(settings, logrus.NewEntry(logger), Options{})
	defer router.endLifetime()
	handler := router.resolveService(func(context.Context, *Exchange) error { return nil })
	for service, want := range map[string]fault.Kind{"other": fault.ServiceNotRouted, "routed": fault.UnknownService} {
		err := handler(context.Background(), &Exchange{Request: dispatch.Request{Service: state.ServiceName(service)}})
		if !fault.Is(err, want) {
			t.Errorf("%s: got %v, want %s", service, err, want)
		}
	}
}

// TestRequestsThatOutlastAStopAreRefused guards against requests that a stopping router sends on and cuts off when it
// ends.
func TestRequestsThatOutlastAStopAreRefused(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := config.DefaultRouter()
	settings.StopTimeout = time.Hour
	router := New(settings, logrus.NewEntry(logger), Options{})
	defer router.endLifetime()
	sent := 0
	handler := router.refuseOutlasting(func(context.Context, *Exchange) error {
		sent++
		return nil
	})
	long := &Exchange{Request: dispatch.Request{Deadline: router.clock.Now() + 2*time.Hour}}
	short := &Exchange{Request: dispatch.Request{Deadline: router.clock.Now() + time.Minute}}
	if err := handler(t.Context(), long); err != nil || sent != 1 {
		t.Fatalf("before the stop: %v", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := router.stop(router.newCallerServer(), listener); err != nil {
		t.Fatal(err)
	}
	if err := handler(t.Context(), short); err != nil || sent != 2 {
		t.Errorf("a request that ends in time: %v", err)
	}
	if err := handler(t.Context(), long); fault.KindOf(err) != fault.RouterStopping || sent != 2 {
		t.Errorf("a request that outlasts the stop: %v", err)
	}
}

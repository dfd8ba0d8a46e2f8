package router

import (
	"context"
	"io"
	"testing"

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

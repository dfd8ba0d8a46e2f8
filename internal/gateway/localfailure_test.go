package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/relay"
	"github.com/thorntiller/thorntiller/internal/room"
)

// localErrors are the errors of a dial that say nothing of its target.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

// newGatewayThatLacks returns a gateway whose instances are all up, and to which it can open no connection while the
// machine lacks something.
func newGatewayThatLacks(t *testing.T, lacking *atomic.Bool, cause error) *Gateway {
	t.Helper()
	instance := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Thorntiller-Request-Id", request.Header.Get("Thorntiller-Request-Id"))
	}))
	t.Cleanup(instance.Close)
	gateway := newCutOffGateway(t)
	gateway.upstreams.settings.Dial = func(_ string, timeout time.Duration) (net.Conn, error) {
		if lacking.Load() {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", cause)}
		}
		return forward.DialTCP(instance.Listener.Addr().String(), timeout)
	}
	for _, id := range []directory.InstanceID{"i0", "i1", "i2"} {
		gateway.reach.Reached(gateway.clock.Now(), id)
	}
	t.Cleanup(func() { gateway.upstreams.forget(func(directory.InstanceID) bool { return false }) })
	return gateway
}

// TestGatewayWithoutDescriptorsBlamesNoInstance guards against instances that count as unreachable or ejected because the
// gateway's own machine lacks descriptors, ports or memory for connections to them.
func TestGatewayWithoutDescriptorsBlamesNoInstance(t *testing.T) {
	for _, cause := range localErrors {
		t.Run(cause.Error(), func(t *testing.T) {
			var lacking atomic.Bool
			lacking.Store(true)
			gateway := newGatewayThatLacks(t, &lacking, cause)
			for range 10 {
				got := ask(gateway, "/once/")
				if got.StatusCode() != fasthttp.StatusServiceUnavailable || len(got.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
					t.Errorf("answer %q", got.String())
				}
			}
			if !gateway.reach.AllReachable() {
				t.Errorf("%d instances count as unreachable, cut off: %t", gateway.reach.Unreachable(), gateway.reach.CutOff())
			}
			lacking.Store(false)
			for range 10 {
				if got := ask(gateway, "/once/"); got.StatusCode() != fasthttp.StatusOK {
					t.Errorf("after it has passed: %q", got.String())
				}
			}
		})
	}
}

// TestProbeWithoutDescriptorsProvesNothing: an instance that is only suspected stays reachable.
func TestProbeWithoutDescriptorsProvesNothing(t *testing.T) {
	var lacking atomic.Bool
	gateway := newGatewayThatLacks(t, &lacking, syscall.EMFILE)
	service, _ := gateway.subscription.current().Service("s")
	instance, _ := service.Instance("i0")
	gateway.upstreams.client(instance)
	gateway.reach.Suspect(gateway.clock.Now(), "i0")
	lacking.Store(true)
	for _, id := range gateway.reach.DueProbes(gateway.clock.Now()) {
		gateway.probe(id)
	}
	if !gateway.reach.Reachable("i0") {
		t.Error("the instance counts as unreachable")
	}
	lacking.Store(false)
	gateway.probe(gateway.reach.DueProbes(gateway.clock.Now() + time.Minute)[0])
	if !gateway.reach.AllReachable() {
		t.Error("the instance is still suspected after a probe that reached it")
	}
}

// TestLocalFailureReturnsThePlaceUnused guards against a keeper that counts a failure of the gateway's machine as one of
// the instance, for all gateways.
func TestLocalFailureReturnsThePlaceUnused(t *testing.T) {
	gateway := newCutOffGateway(t)
	gateway.reach.Reached(0, "i0")
	current := &request{interrupt: &forward.Interrupt{}, clock: testClock, route: &directory.Route{}}
	if got := gateway.placeOutcome(current, way{}, fault.New(fault.SocketUnavailable, "")); got != room.Unused {
		t.Errorf("outcome %d, want %d", got, room.Unused)
	}
}

// TestLocalFailureBlamesNoRelay: another gateway is not taken for unreachable either.
func TestLocalFailureBlamesNoRelay(t *testing.T) {
	if outcome, failure := relayFailure(fault.New(fault.SocketUnavailable, "")); outcome != relay.Declined || failure.Kind != fault.SocketUnavailable {
		t.Errorf("outcome %v, failure %v", outcome, failure)
	}
}

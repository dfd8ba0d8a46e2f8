package gateway

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// TestSilentControllerDoesNotDelayTheDirectory guards against a gateway that waits for a controller to time
// out before it asks the next one. One of two controllers accepts connections and does not answer, as a
// machine that has just lost power or is cut off.
func TestSilentControllerDoesNotDelayTheDirectory(t *testing.T) {
	silent, answering := startStub(t), startStub(t)
	silent.silent.Store(true)
	began := time.Now()
	s := startSubscriptionWithTimeout(t, eventuallyTimeout, silent.address, answering.address)
	eventually(t, "the directory came", func() bool { return s.current() != nil && s.confirmed() })
	if took := time.Since(began); took > eventuallyTimeout/2 {
		t.Errorf("the directory came after %s", took)
	}
}

// TestOneStreamRemains guards against a search whose end also ends the stream that it found: of several
// controllers that answer, one serves the directory, and its stream lasts.
func TestOneStreamRemains(t *testing.T) {
	stubs := []*stubController{startStub(t), startStub(t), startStub(t)}
	s := startSubscription(t, stubs[0].address, stubs[1].address, stubs[2].address)
	counts := func() (open, streams int64) {
		for _, stub := range stubs {
			open += stub.open.Load()
			streams += stub.streams.Load()
		}
		return open, streams
	}
	eventually(t, "one stream is open", func() bool {
		open, _ := counts()
		return s.confirmed() && open == 1
	})
	_, before := counts()
	confirmedAt := *s.confirmedAt.Load()
	eventually(t, "the stream goes on", func() bool { return *s.confirmedAt.Load()-confirmedAt > 3*s.settings.PongTimeout })
	if open, after := counts(); open != 1 || after != before {
		t.Errorf("%d streams are open, %d were opened anew", open, after-before)
	}
}

// TestRequestWaitsForTheFirstDirectory checks that a request waits for the first directory, but for no longer
// than a share of the caller's timeout.
func TestRequestWaitsForTheFirstDirectory(t *testing.T) {
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	gateway, err := New(settings, telemetry.New(role, "g", "error", io.Discard), Options{})
	if err != nil {
		t.Fatal(err)
	}
	call := func(milliseconds string) *fasthttp.RequestCtx {
		context := &fasthttp.RequestCtx{}
		context.Init(&fasthttp.Request{}, &net.TCPAddr{}, nil)
		context.Request.Header.Set(gateway.dialect.Deadline, milliseconds)
		return context
	}
	if table := gateway.awaitTable(call("100")); table != nil {
		t.Error("got a table although there is no directory")
	}
	controller := startStub(t)
	gateway.subscription.controllers = []string{controller.address}
	runInBackground(t, gateway.subscription.run)
	if table := gateway.awaitTable(call("600000")); table == nil {
		t.Error("the request did not wait for the directory")
	}
}

// TestControllerIsDialedAgain checks that a controller that has not accepted a connection for a while is
// dialed once more, since the first packet to a machine without power is lost. A controller that has accepted
// one is not, and one stream wins, whichever connection it uses.
func TestControllerIsDialedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		search := newRace(config.DefaultGateway().PongTimeout)
		ended := 0
		cancel := func() { ended++ }
		first := search.enter("c", cancel)
		if first == nil || search.enter("c", cancel) != nil {
			t.Fatal("a controller is asked twice at once")
		}
		time.Sleep(redialAfter)
		second := search.enter("c", cancel)
		if second == nil {
			t.Fatal("a controller that does not accept connections is not dialed again")
		}
		if !search.connected(second, &wire.Conn{}) || search.connected(first, &wire.Conn{}) {
			t.Error("want one connection to a controller")
		}
		time.Sleep(redialAfter)
		if search.enter("c", cancel) != nil {
			t.Error("a controller that has accepted a connection is dialed again")
		}
		if !search.claim(second) || search.claim(first) || ended != 1 {
			t.Errorf("%d streams were ended, want that of the first connection", ended)
		}
		if search.enter("d", cancel) != nil {
			t.Error("another controller is asked after one has won")
		}
	})
}

// TestSearchGoesOnBesideACandidateThatDoesNotEnd guards against a gateway that asks no controller any more because one
// that proves nothing goes on sending updates.
func TestSearchGoesOnBesideACandidateThatDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := config.DefaultGateway()
		s := newSubscription(testClock, settings, discardLog(), nil, &link.Meter{})
		search := newRace(settings.PongTimeout)
		search.enter("c", func() {})
		time.Sleep(redialAfter)
		if search.enter("c", func() {}) == nil || !search.awaits() {
			t.Fatal("the controller is not asked again")
		}
		began := time.Now()
		s.awaitCandidates(t.Context(), search)
		if took := time.Since(began); took > 2*settings.PongTimeout {
			t.Errorf("the search went on after %s", took)
		}
	})
}

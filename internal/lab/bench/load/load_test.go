package load

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/lab/hollow"
)

// TestRunTellsAnswersFromFailures: only the whole expected answer counts, and
// each failure has its reason.
func TestRunTellsAnswersFromFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Request.Header.Peek(callerapi.HeaderKey)) {
		case "refused":
			ctx.Response.Header.Set(callerapi.HeaderError, "stale_router")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case "other":
			ctx.SetBodyString("{}")
		case "fenced":
			if string(ctx.Request.Header.Peek(backendapi.HeaderShard)) == "7" && string(ctx.Request.Header.Peek(backendapi.HeaderEpoch)) == "2" {
				ctx.SetBodyString(hollow.AnswerBody)
			}
		}
	}}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Shutdown()
		_ = listener.Close() // Shutdown leaves it open if Serve has not begun
		group.Wait()
	})
	address := listener.Addr().String()
	run := func(target Target) Result {
		target.Address, target.Path = address, "/x"
		result, err := Run(context.Background(), []Target{target}, 2, 50*time.Millisecond)
		if err != nil || result.Requests == 0 {
			t.Fatalf("%+v, %v", result, err)
		}
		return result
	}
	good := run(Target{Key: "fenced", Shard: 7, Epoch: 2})
	if good.Failed != 0 || good.Quantile(0.5) <= 0 {
		t.Errorf("good: %+v", good)
	}
	refused, other := run(Target{Key: "refused"}), run(Target{Key: "other"})
	if refused.Failed != refused.Requests || refused.Reasons["stale_router"] != refused.Requests || other.Failed != other.Requests {
		t.Errorf("refused %+v, other %+v", refused, other)
	}
	requests := good.Requests + refused.Requests
	joined := good.Add(refused)
	if joined.Requests != requests || joined.Failed != refused.Requests || joined.Reasons["stale_router"] != refused.Requests {
		t.Errorf("joined: %+v", joined)
	}
}

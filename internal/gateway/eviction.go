package gateway

import (
	"net"
	"runtime"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/overload"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// enterPhase follows the state of a caller's connection.
func (g *Gateway) enterPhase(connection net.Conn, change fasthttp.ConnState) {
	intake.Follow(intake.LoadOf(connection), g.clock.Now(), change)
}

// reserveAnswer reserves memory for an answer, which is held until the caller has taken the answer.
func (r *request) reserveAnswer(now clock.Clock, bytes int64) bool {
	reserved := intake.Reserve(r.load, now, bytes)
	if reserved {
		r.answerReserved += bytes
	}
	return reserved
}

// returnAnswer returns what was reserved for an answer that did not come whole.
func (r *request) returnAnswer() {
	r.load.Return(r.answerReserved)
	r.answerReserved = 0
}

// maxKeptAnswerBytes is the size up to which the buffer of an answer is kept with its connection for further ones.
const maxKeptAnswerBytes = 16 << 10

// holdAnswer counts an answer until its caller has taken it. The buffer of a large one is not kept for further answers.
func (g *Gateway) holdAnswer(current *request) {
	now := g.clock.Now()
	if bytes := int64(len(current.answer.Body())); bytes > maxKeptAnswerBytes {
		current.answer.SetBodyRaw(current.answer.SwapBody(nil))
		current.load.Take(now, max(0, bytes-current.answerReserved))
	}
	current.load.Enter(now, overload.Writing)
}

// holdingTurn returns a turn during which the connection is not evicted: its caller is not what the answer waits for.
func holdingTurn(connection *intake.Connection, turn func(bytes int)) func(bytes int) {
	return func(bytes int) { connection.Await(func() { turn(bytes) }) }
}

func newClientBudget(settings config.Gateway, places func() int) *overload.Budget {
	return overload.NewBudget(overload.Limits{
		Bytes: settings.EffectiveRequestMemory(), ConnectionBytes: overload.TypicalConnectionBytes,
		Connections: settings.MaxConnections, Places: places, Collect: runtime.GC,
	})
}

func registerBudget(registry *telemetry.Metrics, budget *overload.Budget) {
	registry.GaugeFunction("request_memory_bytes", "Memory taken by callers' connections, bodies of requests and answers that wait to be taken.",
		func() float64 { return float64(budget.Used()) })
	registry.GaugeFunction("request_memory_peak_bytes", "Largest value of request_memory_bytes since the start.",
		func() float64 { return float64(budget.Peak()) })
	registry.CounterFunction("connections_evicted_total", "Callers' connections that were closed since they made no progress while memory or connections were short.",
		nil, func() float64 { return float64(budget.Evicted()) })
	registry.CounterFunction("overload_refused_total", "Callers' connections and requests that were refused for lack of memory or beyond max_connections.",
		nil, func() float64 { return float64(budget.Refused()) })
}

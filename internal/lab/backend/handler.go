package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
)

const contentTypeJSON = "application/json"

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case backendapi.PathLease:
		b.handleLease(ctx)
	case backendapi.PathCancel:
		b.handleCancel(ctx)
	case backendapi.PathDrain:
		b.handleDrain(ctx)
	case backendapi.PathHealth:
		b.handleHealth(ctx)
	case backendapi.PathLoad:
		b.handleLoad(ctx)
	case PathFault:
		b.handleFault(ctx)
	default:
		b.handleRequest(ctx)
	}
}

func (b *Backend) handleRequest(ctx *fasthttp.RequestCtx) {
	b.arrivals.Add(1)
	current, wellFormed := readRequest(ctx, clock.BootTime())
	if !wellFormed {
		ctx.Error("request id, shard, epoch or timeout header: missing or not decimal", fasthttp.StatusBadRequest)
		return
	}
	if len(current.payload) > maxPayload {
		ctx.Error("body: too large", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	built, refusal, err := b.execute(current)
	switch {
	case err != nil:
		b.logger.WithError(err).Error("record of a request was not written")
		ctx.Error("record not written", fasthttp.StatusInternalServerError)
	case refusal != "":
		b.refuse(ctx, current, refusal)
	default:
		b.send(ctx, built)
	}
}

// refuse answers that the request did not execute.
func (b *Backend) refuse(ctx *fasthttp.RequestCtx, refused request, refusal backendapi.Refusal) {
	ctx.Error("not executed: "+string(refusal), fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(backendapi.HeaderRefusal, string(refusal))
	ctx.Response.Header.Set(backendapi.HeaderRequestID, refused.requestID)
	b.setLoad(ctx)
	if refused.overLimit {
		ctx.SetConnectionClose()
	}
}

// send lets the answer of an executed request out, with the faults in force.
func (b *Backend) send(ctx *fasthttp.RequestCtx, built answer) {
	time.Sleep(b.faults.takeLate())
	built = b.faults.cross(built)
	ctx.Response.Header.Set(backendapi.HeaderRequestID, built.requestID)
	b.setLoad(ctx)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(built.body)
	if b.faults.takeDrop() {
		dropInBody(ctx, built.body)
	}
}

// dropInBody writes the header and half of the body, then closes.
func dropInBody(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.Response.Header.SetContentLength(len(body))
	header := ctx.Response.Header.Header()
	half := body[:len(body)/2]
	partial := append(append([]byte{}, header...), half...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) {
		writer := bufio.NewWriter(connection)
		// The connection closes next, whether or not the write succeeds.
		_, _ = writer.Write(partial)
		_ = writer.Flush()
	})
}

func (b *Backend) setLoad(ctx *fasthttp.RequestCtx) {
	b.mutex.Lock()
	load := b.loadLocked()
	b.mutex.Unlock()
	ctx.Response.Header.Set(backendapi.HeaderLoad, fmt.Sprintf("%d/%d/%d", load.Running, load.Slots, load.Queued))
}

func (b *Backend) handleLease(ctx *fasthttp.RequestCtx) {
	var message backendapi.LeaseRequest
	if !readJSON(ctx, &message) {
		return
	}
	b.mutex.Lock()
	answered := b.holder.HandleLease(clock.BootTime(), message)
	answered.Load = b.loadLocked()
	if answered.Accepted && message.ReportLoads {
		answered.Load.ShardLoads = b.leaseLoads.take()
	}
	b.mutex.Unlock()
	writeJSON(ctx, answered)
}

func (b *Backend) handleCancel(ctx *fasthttp.RequestCtx) {
	var message backendapi.CancelRequest
	if !readJSON(ctx, &message) {
		return
	}
	if message.RequestID == "" {
		ctx.Error(`request_id: is "": name the attempt`, fasthttp.StatusBadRequest)
		return
	}
	b.mutex.Lock()
	outcome := b.attempts.cancel(clock.BootTime(), message.RequestID)
	b.mutex.Unlock()
	writeJSON(ctx, backendapi.CancelAnswer{RequestID: message.RequestID, Outcome: outcome})
}

func (b *Backend) handleDrain(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("method: use POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	b.mutex.Lock()
	b.holder.Drain()
	b.mutex.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (b *Backend) handleHealth(ctx *fasthttp.RequestCtx) {
	b.faults.waitWhile(func(fault Fault) bool { return fault.HangHealth })
	fault := b.faults.get()
	b.mutex.Lock()
	healthy := !b.holder.Draining()
	b.mutex.Unlock()
	if b.config.HealthLie || fault.HealthLie {
		healthy = !healthy
	}
	if !healthy {
		ctx.Error("not well", fasthttp.StatusServiceUnavailable)
	}
}

func (b *Backend) handleLoad(ctx *fasthttp.RequestCtx) {
	b.mutex.Lock()
	report := b.lagging.get(clock.BootTime(), b.freshReportLocked)
	b.mutex.Unlock()
	writeJSON(ctx, report)
}

func (b *Backend) freshReportLocked() backendapi.LoadReport {
	report := b.loadLocked()
	report.ShardLoads = b.reportLoads.take()
	return report
}

func (b *Backend) handleFault(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		writeJSON(ctx, b.faults.get())
		return
	}
	var fault Fault
	if !readJSON(ctx, &fault) {
		return
	}
	if err := fault.Validate(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	b.faults.set(fault)
	writeJSON(ctx, fault)
}

// message is a type that travels as JSON on the back end's own paths.
type message interface {
	backendapi.LeaseRequest | backendapi.CancelRequest | backendapi.LeaseAnswer |
		backendapi.CancelAnswer | backendapi.LoadReport | Fault
}

// readJSON decodes the body of a POST, or answers what is wrong with it.
func readJSON[M message](ctx *fasthttp.RequestCtx, into *M) bool {
	if !ctx.IsPost() {
		ctx.Error("method: use POST", fasthttp.StatusMethodNotAllowed)
		return false
	}
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON[M message](ctx *fasthttp.RequestCtx, value M) {
	encoded, err := json.Marshal(value)
	if err != nil {
		ctx.Error("encode answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(encoded)
}

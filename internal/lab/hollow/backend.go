package hollow

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/lease"
	"github.com/thorntiller/thorntiller/internal/state"
)

// AnswerBody is the body of every executed request.
const AnswerBody = `{"balance":4200}`

const (
	decimal    = 10
	bits64     = 64
	idleLoad   = "0/1/0"
	jsonFormat = "application/json"
)

// backEnd is one hollow back end.
type backEnd struct {
	id      string
	address string

	mutex  sync.Mutex
	holder *lease.Holder
	// frozen is not nil while the back end is silent, and closed at its end.
	frozen chan struct{}
	// term is that of the newest message taken.
	term uint64
	// gap is the longest time without a lease since the last reset.
	gap time.Duration
}

func newBackEnd(id, address string) *backEnd {
	incarnation := strconv.FormatUint(rand.Uint64(), 16)
	return &backEnd{id: id, address: address, holder: lease.NewHolder(id, incarnation, clock.BootTime())}
}

func (h *backEnd) silence() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.frozen == nil {
		h.frozen = make(chan struct{})
	}
}

func (h *backEnd) thaw() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
}

func (h *backEnd) waitWhileSilent() {
	h.mutex.Lock()
	frozen := h.frozen
	h.mutex.Unlock()
	if frozen == nil {
		return
	}
	limit := time.NewTimer(silenceLimit)
	defer limit.Stop()
	select {
	case <-frozen:
	case <-limit.C:
	}
}

func (h *backEnd) leased(now time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return now < h.holder.LeaseEnd()
}

// handle serves every path of every back end; the local port tells which.
func (b *BackEnds) handle(ctx *fasthttp.RequestCtx) {
	hollow := b.byPort[ctx.LocalAddr().(*net.TCPAddr).Port]
	hollow.waitWhileSilent()
	if !b.open.Load() {
		ctx.Error("not open yet", fasthttp.StatusServiceUnavailable)
		return
	}
	switch string(ctx.Path()) {
	case backendapi.PathLease:
		b.leases.take(ctx.Conn())
		b.handleLease(ctx, hollow)
	case backendapi.PathHealth, backendapi.PathLoad:
		b.probes.take(ctx.Conn())
		ctx.SetContentType(jsonFormat)
		ctx.SetBodyString("{}")
	default:
		b.requests.take(ctx.Conn())
		b.handleRequest(ctx, hollow)
	}
}

func (b *BackEnds) handleLease(ctx *fasthttp.RequestCtx, hollow *backEnd) {
	var message backendapi.LeaseRequest
	if err := json.Unmarshal(ctx.PostBody(), &message); err != nil {
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	now, answer := hollow.renew(message)
	if answer.Accepted && message.Replace && b.options.OnGrant != nil {
		b.options.OnGrant(Grant{Server: hollow.id, At: now, Assignments: message.Assignments})
	}
	answer.Load = backendapi.LoadReport{Slots: b.options.Slots}
	encoded, err := json.Marshal(answer)
	if err != nil {
		ctx.Error("encode answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(jsonFormat)
	ctx.SetBody(encoded)
}

// renew takes a lease message and keeps account of times without a lease.
func (h *backEnd) renew(message backendapi.LeaseRequest) (time.Duration, backendapi.LeaseAnswer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.BootTime()
	before := h.holder.LeaseEnd()
	answer := h.holder.HandleLease(now, message)
	if answer.Accepted && message.Incarnation != "" {
		h.term = message.Fence.Term
		if before > 0 {
			h.gap = max(h.gap, now-before)
		}
	}
	return now, answer
}

// handleRequest executes a request at once if lease and fencing token allow it.
func (b *BackEnds) handleRequest(ctx *fasthttp.RequestCtx, hollow *backEnd) {
	refusal := hollow.check(&ctx.Request.Header)
	ctx.Response.Header.SetBytesV(backendapi.HeaderRequestID, ctx.Request.Header.Peek(backendapi.HeaderRequestID))
	ctx.Response.Header.Set(backendapi.HeaderLoad, idleLoad)
	if refusal != "" {
		b.refused.Add(1)
		ctx.Response.Header.Set(backendapi.HeaderRefusal, string(refusal))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType(jsonFormat)
	ctx.SetBodyString(AnswerBody)
}

func (h *backEnd) check(header *fasthttp.RequestHeader) backendapi.Refusal {
	shard, shardErr := strconv.ParseUint(string(header.Peek(backendapi.HeaderShard)), decimal, bits64)
	epoch, epochErr := strconv.ParseUint(string(header.Peek(backendapi.HeaderEpoch)), decimal, bits64)
	hash := state.HashKey(string(header.Peek(backendapi.HeaderKey)))
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if shardErr != nil || epochErr != nil {
		return h.holder.CheckUnkeyed(clock.BootTime())
	}
	return h.holder.Check(clock.BootTime(), shard, epoch, hash)
}

package router

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Exchange is one caller's request and its answer while the handlers process it.
type Exchange struct {
	// ID is the router's identifier of the request, unique among the requests of all
	// routers.
	ID string
	// CallerID is the caller's identifier of the attempt, which is returned in the answer.
	// It may be empty.
	CallerID string
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// Target is the path and query for the back end.
	Target string
	// Timeout is the timeout that the caller requested, zero if it sent none.
	Timeout time.Duration
	// Request holds the properties that package dispatch needs.
	Request dispatch.Request
	// Inbound is the caller's HTTP request. It must not be changed.
	Inbound *fasthttp.Request
	// Answer holds the back end's complete answer if the handler returns nil.
	Answer *fasthttp.Response

	// suspicion tracks whether the request is suspected of crashing servers.
	suspicion crashwatch.Request
	// key is the routing key that the caller sent.
	key       string
	service   *state.Service
	arrivedAt time.Duration
}

// Handler serves an exchange. A nil error means that Answer holds a back end's complete
// answer; otherwise the error's chain contains a *fault.Error.
type Handler func(ctx context.Context, exchange *Exchange) error

// Deduplicator runs a request that may not be repeated at most once, even if its caller
// resends it with the same Idempotency-Key. It calls next for the first one, and answers
// the others from its records.
type Deduplicator interface {
	Do(ctx context.Context, exchange *Exchange, next Handler) error
}

// controlPrefix is the prefix of the paths that back ends serve for controllers and
// routers. Callers must not reach them.
const controlPrefix = "/.thorntiller"

// readExchange parses the request. It does not use the routing table.
func (r *Router) readExchange(inbound *fasthttp.RequestCtx) (*Exchange, error) {
	request := &inbound.Request
	exchange := &Exchange{
		ID:             r.nextID(),
		CallerID:       string(request.Header.Peek(callerapi.HeaderRequestID)),
		IdempotencyKey: string(request.Header.Peek(callerapi.HeaderIdempotencyKey)),
		Inbound:        request,
		Answer:         fasthttp.AcquireResponse(),
		arrivedAt:      r.clock.Now(),
	}
	exchange.suspicion.Identify = exchange.identify
	if err := exchange.readTarget(request); err != nil {
		return exchange, err
	}
	if err := exchange.readKey(request); err != nil {
		return exchange, err
	}
	if err := exchange.readTimeout(request); err != nil {
		return exchange, err
	}
	return exchange, exchange.readRepeatable(request)
}

// identify returns the parts of the request from which its quarantine fingerprint is
// computed.
func (e *Exchange) identify() quarantine.Request {
	header := &e.Inbound.Header
	return quarantine.Request{
		Method: header.Method(), Host: []byte(e.Request.Service), URI: []byte(e.Target),
		Caller: quarantine.CallerOf(header.Peek(fasthttp.HeaderAuthorization), header.Peek(fasthttp.HeaderCookie)), Key: []byte(e.key), Body: [][]byte{e.Inbound.Body()},
	}
}

// readTarget splits /<service>/<rest>. The rest is forwarded as the caller wrote it, but
// its normalized form must not be a reserved path.
func (e *Exchange) readTarget(request *fasthttp.Request) error {
	original := string(request.URI().PathOriginal())
	name, rest, found := strings.Cut(strings.TrimPrefix(original, "/"), "/")
	if name == "" || !strings.HasPrefix(original, "/") {
		return fault.Newf(fault.InvalidRequest, "path %.100q names no service; send /<service>/<path>", original)
	}
	e.Request.Service = state.ServiceName(name)
	e.Target = "/"
	if found {
		e.Target += rest
	}
	if isReserved(e.Target) {
		return fault.Newf(fault.InvalidRequest, "path %.100q is reserved; use another path of the service", e.Target)
	}
	if query := request.URI().QueryString(); len(query) > 0 {
		e.Target += "?" + string(query)
	}
	return nil
}

// isReserved reports whether a back end might interpret the path as one of its control
// paths.
func isReserved(target string) bool {
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	uri.SetPath(target)
	normal := bytes.ToLower(uri.Path())
	return bytes.HasPrefix(normal, []byte(controlPrefix)) || strings.HasPrefix(strings.ToLower(target), controlPrefix)
}

func (e *Exchange) readKey(request *fasthttp.Request) error {
	key := request.Header.Peek(callerapi.HeaderKey)
	if len(key) == 0 {
		return nil
	}
	e.key = string(key)
	e.Request.Keyed = true
	e.Request.KeyHash = state.HashKey(e.key)
	return nil
}

func (e *Exchange) readTimeout(request *fasthttp.Request) error {
	value := string(request.Header.Peek(callerapi.HeaderTimeout))
	if value == "" {
		return nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 32)
	if err != nil || milliseconds <= 0 {
		return fault.Newf(fault.InvalidRequest, "header %s is %.32q; give whole milliseconds above 0", callerapi.HeaderTimeout, value)
	}
	e.Timeout = time.Duration(milliseconds) * time.Millisecond
	return nil
}

func (e *Exchange) readRepeatable(request *fasthttp.Request) error {
	switch value := string(request.Header.Peek(callerapi.HeaderRepeatable)); value {
	case "":
		e.Request.Repeatable = request.Header.IsGet() || request.Header.IsHead()
	case callerapi.RepeatableTrue:
		e.Request.Repeatable = true
	case callerapi.RepeatableFalse:
		e.Request.Repeatable = false
	default:
		return fault.Newf(fault.InvalidRequest, "header %s is %.32q; give %s or %s", callerapi.HeaderRepeatable, value,
			callerapi.RepeatableTrue, callerapi.RepeatableFalse)
	}
	return nil
}

// resolve applies the service's settings: it checks the key and sets the deadline.
func (e *Exchange) resolve(service *state.Service, maxTimeout time.Duration) error {
	e.service = service
	if service.Keyed && !e.Request.Keyed {
		return fault.Newf(fault.InvalidRequest, "header %s is missing; service %q routes by key", callerapi.HeaderKey, service.Name)
	}
	e.Request.Keyed = service.Keyed
	timeout := min(service.DefaultTimeout, maxTimeout)
	if e.Timeout > 0 {
		timeout = min(timeout, e.Timeout)
	}
	e.Request.Deadline = e.arrivedAt + timeout
	return nil
}

// fillAttemptRequest fills in the HTTP request of one attempt.
func (e *Exchange) fillAttemptRequest(request *fasthttp.Request, decision *dispatch.Decision, attemptID string, timeout time.Duration) {
	e.Inbound.Header.CopyTo(&request.Header)
	for _, name := range forward.HopHeaders() {
		request.Header.Del(name)
	}
	request.Header.SetProtocol("HTTP/1.1")
	request.Header.SetRequestURI(e.Target)
	request.Header.SetHost(decision.Server.Address)
	body := e.Inbound.Body()
	request.SetBodyRaw(body)
	request.Header.SetContentLength(len(body))
	setHeader(request, backendapi.HeaderRequestID, attemptID)
	setHeader(request, backendapi.HeaderTimeout, strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	request.Header.Del(backendapi.HeaderShard)
	request.Header.Del(backendapi.HeaderEpoch)
	if e.Request.Keyed {
		setHeader(request, backendapi.HeaderKey, e.key)
	}
	if e.Request.Keyed && !decision.Unfenced {
		setHeader(request, backendapi.HeaderShard, strconv.FormatUint(uint64(decision.Shard), 10))
		setHeader(request, backendapi.HeaderEpoch, strconv.FormatUint(uint64(decision.Epoch), 10))
	}
}

// setHeader sets the header and removes all values that the caller sent.
func setHeader(request *fasthttp.Request, name, value string) {
	request.Header.Del(name)
	request.Header.Set(name, value)
}

package backend

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

const (
	decimal = 10
	bits64  = 64
	bits32  = 32
	// maxTimeoutMs bounds HeaderTimeout.
	maxTimeoutMs = 24 * 60 * 60 * 1000
)

// request is one request of a router, read from its headers.
type request struct {
	requestID      string
	method         string
	path           string
	key            string
	keyHash        uint64
	shard          uint64
	epoch          uint64
	fenced         bool
	idempotencyKey string
	attempt        string
	repeatable     bool
	// deadline is a clock reading; zero means none.
	deadline  time.Duration
	overLimit bool
	payload   string
}

// readRequest returns false when a header that is present is malformed.
func readRequest(ctx *fasthttp.RequestCtx, now time.Duration) (request, bool) {
	header := &ctx.Request.Header
	read := request{
		requestID:      string(header.Peek(backendapi.HeaderRequestID)),
		method:         string(header.Method()),
		path:           string(ctx.RequestURI()),
		key:            string(header.Peek(backendapi.HeaderKey)),
		idempotencyKey: string(header.Peek(backendapi.HeaderIdempotencyKey)),
		attempt:        string(header.Peek(record.HeaderAttempt)),
		payload:        string(ctx.PostBody()),
	}
	read.keyHash = xxhash.Sum64String(read.key)
	read.repeatable = isRepeatable(read.method, string(header.Peek(callerapi.HeaderRepeatable)))
	if connection, counted := ctx.Conn().(*countedConnection); counted {
		read.overLimit = connection.overLimit
	}
	fenceRead := read.readFence(string(header.Peek(backendapi.HeaderShard)), string(header.Peek(backendapi.HeaderEpoch)))
	deadlineRead := read.readDeadline(string(header.Peek(backendapi.HeaderTimeout)), now)
	return read, fenceRead && deadlineRead && read.requestID != ""
}

func isRepeatable(method, header string) bool {
	if header != "" {
		return header == callerapi.RepeatableTrue
	}
	return isRead(method)
}

func (r *request) readFence(shard, epoch string) bool {
	if shard == "" && epoch == "" {
		return true
	}
	shardNumber, shardErr := strconv.ParseUint(shard, decimal, bits64)
	epochNumber, epochErr := strconv.ParseUint(epoch, decimal, bits64)
	r.shard = shardNumber
	r.epoch = epochNumber
	r.fenced = true
	return shardErr == nil && epochErr == nil
}

func (r *request) readDeadline(timeout string, now time.Duration) bool {
	if timeout == "" {
		return true
	}
	left, err := strconv.ParseUint(timeout, decimal, bits32)
	if err != nil || left > maxTimeoutMs {
		return false
	}
	r.deadline = now + time.Duration(left)*time.Millisecond
	return true
}

// passed reports whether the deadline has passed.
func (r *request) passed(now time.Duration) bool {
	return r.deadline != 0 && now >= r.deadline
}

// logicalRequest is the caller's identifier, the last segment of the path.
func (r *request) logicalRequest() string {
	path, _, _ := strings.Cut(r.path, "?")
	return path[strings.LastIndexByte(path, '/')+1:]
}

func isRead(method string) bool {
	return method == fasthttp.MethodGet || method == fasthttp.MethodHead
}

package router

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/record"
)

// fingerprintOf returns a hash of the request's content. It leaves out the headers, except
// for the key, because callers and proxies change them between resends.
func fingerprintOf(exchange *Exchange) record.Fingerprint {
	sum := sha256.New()
	for _, part := range [][]byte{
		[]byte(exchange.Request.Service), exchange.Inbound.Header.Method(), []byte(exchange.Target),
		[]byte(exchange.key), exchange.Inbound.Body(),
	} {
		writePart(sum, part)
	}
	var fingerprint record.Fingerprint
	copy(fingerprint[:], sum.Sum(nil))
	return fingerprint
}

// writePart writes a part with its length, so that different lists of parts never give the
// same input to the hash.
func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// Write of a hash.Hash never returns an error.
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(part)
}

// isPerExchangeHeader reports whether a header of a back end's answer applies to one
// exchange only and must not be repeated for a resend.
func isPerExchangeHeader(name string) bool {
	for _, other := range forward.HopHeaders() {
		if name == other {
			return true
		}
	}
	switch name {
	case backendapi.HeaderLoad, backendapi.HeaderRequestID, callerapi.HeaderError, callerapi.HeaderOutcome,
		fasthttp.HeaderContentLength:
		return true
	default:
		return false
	}
}

// keepAnswer copies a back end's answer so that it can be repeated for resends. It omits
// headers and body if the body is larger than maxBytes.
func keepAnswer(answer *fasthttp.Response, maxBytes int) *record.Answer {
	kept := &record.Answer{Status: answer.StatusCode(), SkipBody: answer.SkipBody}
	if len(answer.Body()) > maxBytes {
		kept.Omitted = true
		return kept
	}
	for name, value := range answer.Header.All() {
		if !isPerExchangeHeader(string(name)) {
			kept.Headers = append(kept.Headers, record.Header{Name: string(name), Value: string(value)})
		}
	}
	kept.Body = append([]byte(nil), answer.Body()...)
	return kept
}

// restoreAnswer copies a kept answer into the exchange.
func restoreAnswer(exchange *Exchange, kept *record.Answer) error {
	if kept == nil || kept.Omitted {
		return fault.New(fault.OutcomeUnknown,
			"the request with this Idempotency-Key ran and was answered, but its answer was too large to be kept; look its effect up")
	}
	exchange.Answer.Reset()
	exchange.Answer.SetStatusCode(kept.Status)
	for _, header := range kept.Headers {
		exchange.Answer.Header.Add(header.Name, header.Value)
	}
	exchange.Answer.SkipBody = kept.SkipBody
	exchange.Answer.SetBody(kept.Body)
	return nil
}

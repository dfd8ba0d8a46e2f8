package story

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Loss counts requests that failed alike within one span of time.
type Loss struct {
	Service string
	// Tenant is whose requests they were; empty unless tenants are told apart.
	Tenant string
	// Kind is why the request failed in the end.
	Kind fault.Kind
	// Attempts are the kinds with which its attempts ended, in order; empty if it was
	// sent to no instance.
	Attempts string
	// Since is the beginning of the span.
	Since time.Time
	// Requests is how many failed so.
	Requests int
}

// endedRequest is what a line about a request tells.
type endedRequest struct {
	service  string
	tenant   string
	kind     fault.Kind
	attempts []string
}

// Grouping says which losses count together.
type Grouping struct {
	// Span is the time that one loss covers.
	Span time.Duration
	// ByTenant tells the requests of one tenant from those of others.
	ByTenant bool
}

// Losses counts the failed requests that lines tell of, by spans of time that begin with
// the first line; the most frequent first. Requests that were answered after a resend are
// no losses.
func Losses(lines []Line, grouping Grouping) []Loss {
	counts := make(map[Loss]int)
	for _, line := range lines {
		ended, failed := readEnded(line)
		if !failed {
			continue
		}
		if !grouping.ByTenant {
			ended.tenant = ""
		}
		counts[Loss{
			Service: ended.service, Tenant: ended.tenant, Kind: ended.kind,
			Attempts: strings.Join(ended.attempts, ","), Since: line.At.Truncate(grouping.Span),
		}]++
	}
	losses := make([]Loss, 0, len(counts))
	for loss, count := range counts {
		loss.Requests = count
		losses = append(losses, loss)
	}
	slices.SortFunc(losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), a.Since.Compare(b.Since),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Attempts, b.Attempts))
	})
	return losses
}

// readEnded reads a line about a request that failed.
func readEnded(line Line) (endedRequest, bool) {
	var ended endedRequest
	if line.Event != telemetry.EventRequestEnded || json.Unmarshal(line.Fields[telemetry.FieldKind], &ended.kind) != nil || ended.kind == "" {
		return ended, false
	}
	_ = json.Unmarshal(line.Fields[telemetry.FieldService], &ended.service) // a request without a route has none
	_ = json.Unmarshal(line.Fields[telemetry.FieldTenant], &ended.tenant)   // one without an API key has none
	var attempts []struct {
		Kind string `json:"kind"`
	}
	_ = json.Unmarshal(line.Fields["attempts"], &attempts) // a request that was sent nowhere has none
	for _, attempt := range attempts {
		ended.attempts = append(ended.attempts, attempt.Kind)
	}
	return ended, true
}

// WriteLosses prints the most frequent losses as a table.
func WriteLosses(out io.Writer, losses []Loss, most int) error {
	const row = "%8v  %-12s  %-14s  %-14s  %-22s  %s\n"
	if _, err := fmt.Fprintf(out, row, "requests", "since", "service", "tenant", "cause", "attempts"); err != nil {
		return eris.Wrap(err, "write losses")
	}
	for _, loss := range losses[:min(most, len(losses))] {
		attempts := cmp.Or(loss.Attempts, "none")
		if _, err := fmt.Fprintf(out, row, loss.Requests, loss.Since.Format("15:04:05.000"), loss.Service, cmp.Or(loss.Tenant, "-"), loss.Kind, attempts); err != nil {
			return eris.Wrap(err, "write losses")
		}
	}
	return nil
}

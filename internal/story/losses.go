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

// Loss counts the requests of one service that failed in the same way within one time span.
type Loss struct {
	Service string
	// Tenant is the tenant of the requests; empty unless losses are grouped by tenant.
	Tenant string
	// Kind is the final error kind.
	Kind fault.Kind
	// Attempts lists the error kinds of the attempts in order, separated by commas; empty if the
	// request was not sent to any instance.
	Attempts string
	// Since is the start of the span.
	Since time.Time
	// Requests is the number of failed requests.
	Requests int
}

// failedRequest holds the fields of a request_ended log line of a failed request.
type failedRequest struct {
	service  string
	tenant   string
	kind     fault.Kind
	attempts []string
}

// Grouping selects how losses are grouped.
type Grouping struct {
	// Span is the length of the time span of one loss.
	Span time.Duration
	// ByTenant counts the requests of each tenant separately.
	ByTenant bool
}

// Losses counts the failed requests in the log lines, grouped by service, tenant, error kinds and time
// span, the most frequent first. Spans are aligned to multiples of grouping.Span, not to the first line.
// Requests that were answered after a resend are not losses.
func Losses(lines []Line, grouping Grouping) []Loss {
	counts := make(map[Loss]int)
	for _, line := range lines {
		request, failed := readFailed(line)
		if !failed {
			continue
		}
		if !grouping.ByTenant {
			request.tenant = ""
		}
		counts[Loss{
			Service: request.service, Tenant: request.tenant, Kind: request.kind,
			Attempts: strings.Join(request.attempts, ","), Since: line.At.Truncate(grouping.Span),
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

// readFailed parses the log line of a failed request; it returns false for all other lines.
func readFailed(line Line) (failedRequest, bool) {
	var request failedRequest
	if line.Event != telemetry.EventRequestEnded || json.Unmarshal(line.Fields[telemetry.FieldKind], &request.kind) != nil || request.kind == "" {
		return request, false
	}
	_ = json.Unmarshal(line.Fields[telemetry.FieldService], &request.service) // absent if no route matched
	_ = json.Unmarshal(line.Fields[telemetry.FieldTenant], &request.tenant)   // absent without an API key
	var attempts []struct {
		Kind string `json:"kind"`
	}
	_ = json.Unmarshal(line.Fields["attempts"], &attempts) // null if the request was not sent to any instance
	for _, attempt := range attempts {
		request.attempts = append(request.attempts, attempt.Kind)
	}
	return request, true
}

// WriteLosses prints at most the given number of losses as a table.
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

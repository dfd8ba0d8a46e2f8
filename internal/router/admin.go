package router

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// PathTable is the path of the admin listener that serves a TableSummary.
const PathTable = "/table"

// TableSummary describes the current routing table of a router.
type TableSummary struct {
	table.Summary
	// Services are the services that the router routes; empty for all.
	Services []string `json:"routed_services,omitempty"`
	// Proved is false until the table has been proved current for the first time.
	Proved bool `json:"proved"`
	// AgeMs is the time since the table was last proved current.
	AgeMs int64 `json:"age_ms"`
	// Fresh is true while the table is recent enough for the router to serve requests.
	Fresh bool `json:"fresh"`
}

func (r *Router) summary() TableSummary {
	now := r.clock.Now()
	age, proved := r.freshness.Age(now)
	summary := TableSummary{Summary: r.builder.Table().Summary(), Services: r.settings.Services, Proved: proved, Fresh: r.freshness.Fresh(now)}
	if proved {
		summary.AgeMs = age.Milliseconds()
	}
	return summary
}

func (r *Router) serveAdmin(set *telemetry.Metrics) fasthttp.RequestHandler {
	common := telemetry.Handler(set, r.progress.Ready)
	return func(inbound *fasthttp.RequestCtx) {
		if string(inbound.Path()) != PathTable {
			common(inbound)
			return
		}
		body, err := json.Marshal(r.summary())
		if err != nil {
			inbound.Error("encode table summary", fasthttp.StatusInternalServerError)
			return
		}
		inbound.SetContentType("application/json")
		inbound.SetBody(body)
	}
}

func (r *Router) ready() (bool, string) {
	switch {
	case r.stopping.Load():
		return false, "the router is shutting down"
	case !r.freshness.Fresh(r.clock.Now()):
		return false, "the routing table is not confirmed to be current"
	default:
		return true, ""
	}
}

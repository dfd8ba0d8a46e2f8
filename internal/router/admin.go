package router

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// PathTable serves TableSummary on the admin listener.
const PathTable = "/table"

// TableSummary describes the routing table in force on a router.
type TableSummary struct {
	table.Summary
	// Services are the only ones that the router routes; empty for all.
	Services []string `json:"routed_services,omitempty"`
	// Proved is false before the table was first proved current.
	Proved bool `json:"proved"`
	// AgeMs is the time since the table was last proved current.
	AgeMs int64 `json:"age_ms"`
	// Fresh is true while the router serves requests by the table.
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
	common := telemetry.Handler(set, r.ready)
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
		return false, "the routing table is not proved current"
	default:
		return true, ""
	}
}

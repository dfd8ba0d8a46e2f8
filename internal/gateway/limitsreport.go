package gateway

import "github.com/thorntiller/thorntiller/internal/directory"

// registerLimits registers the metrics of the limits, which an operator compares with those that were acknowledged.
func (g *Gateway) registerLimits() {
	g.registry.GaugeFunction("limits_version", "Version of the item limits in the directory that is followed; 0 if it has none.",
		func() float64 { return float64(limitsOf(g.subscription.current()).Version) })
	g.registry.GaugeFunction("max_header_bytes", "Limit of the head of a request that is in force.",
		func() float64 { return float64(g.maxHeaderBytes()) })
	g.registry.GaugeFunction("max_body_bytes", "Limit of the body of a request that is in force.",
		func() float64 { return float64(g.maxBodyBytes()) })
	g.registry.GaugeFunction("header_timeout_seconds", "Timeout for the head of a request that is in force.",
		func() float64 { return g.connectionTimeouts().header.Seconds() })
	g.registry.GaugeFunction("idle_timeout_seconds", "Time that a caller's connection may be idle between two requests, as it is in force.",
		func() float64 { return g.connectionTimeouts().idle.Seconds() })
	g.registry.CounterFunction("connections_moved_total", "Callers' connections that got a larger buffer, since the head of a request did not fit into theirs.",
		nil, func() float64 { return float64(g.largeHeads.moved.Load()) })
}

// limitFields are the limits as a log line tells them.
func limitFields(limits directory.Limits) map[string]any {
	return map[string]any{
		"version": limits.Version, "max_header_bytes": limits.MaxHeaderBytes, "max_body_bytes": limits.MaxBodyBytes,
		"header_timeout_ms": limits.HeaderTimeoutMs, "idle_timeout_ms": limits.IdleTimeoutMs,
	}
}

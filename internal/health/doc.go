// Package health tracks the health of a router's back ends as seen from its own traffic: consecutive
// failures (passive ejection with half-open probing), refusals by draining servers, and the answers of
// health endpoints, which may lag or be wrong and are therefore only hints. The package reads no clock; the
// caller passes the time.
package health

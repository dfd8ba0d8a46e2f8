package gateway

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// maxLoggedRoutes bounds the changed routes in one log line.
const maxLoggedRoutes = 20

// fieldTableAge is the time since the last proof that the directory was current, in milliseconds; -1 if there
// was none.
const fieldTableAge = "table_age_ms"

// fieldProofReceived is the time since the last answer to a ping arrived, in milliseconds; -1 if there was none. With an
// old table it tells late proofs from none.
const fieldProofReceived = "proof_received_ms"

// logItemsInForce logs which configuration items a new table changes.
func (s *subscription) logItemsInForce(table *routing.Table, from source) {
	if !table.ItemsChanged {
		return
	}
	changed := table.ChangedRoutes
	telemetry.With(s.log, telemetry.EventItemsInForce).WithField(telemetry.FieldRevision, table.Revision).
		WithField("routes", changed[:min(len(changed), maxLoggedRoutes)]).WithField(telemetry.FieldCount, len(changed)).
		WithField(fieldTableAge, ageMs(s.age())).WithField(telemetry.FieldAddress, from.address).
		WithField("peer", from.peer).WithField("limits", limitFields(table.Limits)).Info("configuration items are in force")
}

// age returns how long ago the directory was proved current; -1 if it never was.
func (s *subscription) age() time.Duration {
	proved := s.provedAt.Load()
	if proved == nil {
		return -1
	}
	return s.clock.Now() - *proved
}

// proofReceivedAge returns how long ago the last answer to a ping arrived; -1 if none did.
func (s *subscription) proofReceivedAge() time.Duration {
	received := s.proofReceivedAt.Load()
	if received == nil {
		return -1
	}
	return s.clock.Now() - *received
}

// confirmedAge returns how long ago a controller proved that the directory is current; the maximum duration if
// none did.
func (s *subscription) confirmedAge() time.Duration {
	confirmed := s.confirmedAt.Load()
	if confirmed == nil {
		return math.MaxInt64
	}
	return s.clock.Now() - *confirmed
}

// ageMs returns an age as it is logged.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// recordProof records the answer to a ping.
func (s *subscription) recordProof(sentAt time.Duration, answer message.DirectoryUpdate, from source) {
	now := s.clock.Now()
	provedAt := sentAt
	if answer.ProvedAt != nil {
		provedAt = s.distances.EarliestOf(*answer.ProvedAt, sentAt, now)
	}
	s.confirm(provedAt-s.proofAge(answer, from), from)
	s.proofReceivedAt.Store(&now)
	s.roundTrip.Store(int64(now - sentAt))
}

// confirm records that the directory was current at a clock reading. The proof of a stream that was silent may
// be older than that of another one.
func (s *subscription) confirm(at time.Duration, from source) {
	raise(&s.provedAt, at)
	if !from.peer {
		raise(&s.confirmedAt, at)
	}
}

// raise sets a clock reading unless it is later already.
func raise(reading *atomic.Pointer[time.Duration], to time.Duration) {
	for {
		current := reading.Load()
		if current != nil && *current >= to || reading.CompareAndSwap(current, &to) {
			return
		}
	}
}

// stale reports whether an acknowledged change may be in force elsewhere that a table lacks whose proof has this age.
func (s *subscription) stale(age time.Duration) bool {
	return age < 0 || age > s.settings.StalenessLimit
}

// mayFollow reports whether requests may be routed by a table whose proof has this age.
func (s *subscription) mayFollow(age time.Duration) bool {
	return !s.stale(age) || s.knowledge(age).standing(s.settings.StalenessLimit) == standingOutage
}

// knowledge returns what is known about changes that a table may lack whose proof has this age.
func (s *subscription) knowledge(age time.Duration) knowledge {
	known := knowledge{proofAge: age, sinceProof: s.proofReceivedAge(), sinceUnconfirmed: -1}
	if at := s.unconfirmedAt.Load(); at != nil {
		known.sinceUnconfirmed = s.clock.Now() - *at
	}
	s.viewLock.Lock()
	controllers, alone := s.controllers, len(s.peers) == 0
	s.viewLock.Unlock()
	if at, refuse := s.refusals.byMajority(controllers); alone && refuse {
		known.sinceUnconfirmed = s.clock.Now() - at
	}
	return known
}

// standingPollInterval is the time between two looks at the standing for the log.
const standingPollInterval = 100 * time.Millisecond

// watchStanding logs each change of the standing until the context ends.
func (s *subscription) watchStanding(ctx context.Context) {
	last := standingUnproved
	clock.Every(ctx, standingPollInterval, func() { last = s.logStanding(last) })
}

// logStanding logs the standing if it is not the last one, and returns it.
func (s *subscription) logStanding(last standing) standing {
	known := s.knowledge(s.age())
	now := known.standing(s.settings.StalenessLimit)
	if now == last {
		return now
	}
	event := telemetry.EventTableStale
	if now == standingCurrent {
		event = telemetry.EventTableCurrent
	}
	telemetry.With(s.log, event).WithField("standing", now).WithField("before", last).WithField(telemetry.FieldRevision, s.revision()).
		WithField(fieldTableAge, ageMs(known.proofAge)).WithField(fieldProofReceived, ageMs(known.sinceProof)).
		WithField("unconfirmed_elsewhere_ms", ageMs(known.sinceUnconfirmed)).Info("standing of the routing table changed")
	return now
}

// denied returns the failure of a request that the configuration does not allow. A change may have allowed it that this
// gateway does not know.
func (r *request) denied(kind fault.Kind, format string, arguments ...any) *fault.Error {
	if !r.staleTable {
		return fault.Newf(kind, format, arguments...)
	}
	return fault.Newf(fault.StaleRouter, "%s, but %s", fmt.Sprintf(format, arguments...), outdated(r.tableAge).Detail)
}

// outdated returns the failure of a request that would be routed by a table whose proof has an age.
func outdated(age time.Duration) *fault.Error {
	if age < 0 {
		return fault.New(fault.StaleRouter, "the directory has not been confirmed yet, and changes may be unknown here")
	}
	return fault.Newf(fault.StaleRouter, "the directory was last confirmed %d ms ago, and changes may be unknown here", age.Milliseconds())
}

// registerMetrics registers the metrics of the directory stream.
func (s *subscription) registerMetrics(registry *telemetry.Metrics) {
	registry.GaugeFunction("table_age_seconds", "Time since the last proof that the directory was current; negative if there was none.",
		func() float64 { return s.age().Seconds() })
	registry.GaugeFunction("table_proof_received_seconds", "Time since the last proof that the directory was current arrived; negative if there was none.",
		func() float64 { return s.proofReceivedAge().Seconds() })
	registry.GaugeFunction("table_round_trip_seconds", "Time that the last answered ping to a controller, or another gateway in its place, took.",
		func() float64 { return time.Duration(s.roundTrip.Load()).Seconds() })
}

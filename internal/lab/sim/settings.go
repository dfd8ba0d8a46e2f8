package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
)

// Times of a run, true time.
const (
	// setupLimit bounds the time in which the group must form and the service
	// be created, before the faults begin.
	setupLimit = 5 * time.Second
	// faultPeriod is how long faults are injected.
	faultPeriod = 6 * time.Second
	// configLimit is within which an accepted configuration must be in force at
	// every router, once no fault keeps the router from the controllers.
	configLimit = 5 * time.Second
	// lossLimit is within which each key of a lost server must have an owner
	// again while the leader is healthy.
	lossLimit = time.Second
	// settleSlack is added to settleNeed.
	settleSlack = time.Second
	// commitTime is within which a healthy leader agrees on a change.
	commitTime = 200 * time.Millisecond
	// drainLook is how long requests are watched after a server must get none.
	drainLook = 500 * time.Millisecond
	// look is how often a condition is looked at while the run waits for it.
	look = 10 * time.Millisecond
)

// Shape of the deployment.
const (
	serviceName = "ledger"
	// freeServiceName is the service without keys.
	freeServiceName = "render"
	freeServers     = 3
	firstServers    = 4
	spareServers    = 2
	routerCount     = 2
	operators       = 3
	keyCount        = 6
	queueLimit      = 16
	requestLimit    = 64
	retryRatio      = 0.2
	// resendBurst is the bound of internal/execution.
	resendBurst = 20
	// stalenessLimit is small so that routers also find their table too old.
	stalenessLimit = 1500 * time.Millisecond
	// historyDeltas is small so that routers also meet snapshots.
	historyDeltas = 24
	// snapshotObjects is small so that whole tables travel in several parts.
	snapshotObjects = 6
	// snapshotEntries is small so that logs are cut and replicas need snapshots.
	snapshotEntries = 60
	// segmentBytes is small so that the log gets many segments.
	segmentBytes = 8 << 10
	// clockRateSpread bounds how far a clock's rate is from 1: two clocks differ
	// by less than the default clock rate bound of 1 %.
	clockRateSpread = 0.0049
)

// controllerSettings are the defaults that operators run with, but for what is
// made small above.
func controllerSettings() config.Controller {
	settings := config.DefaultController()
	settings.Consensus.SnapshotEntries = snapshotEntries
	settings.Table.HistoryDeltas = historyDeltas
	settings.Table.SnapshotObjects = snapshotObjects
	return settings
}

// settleNeed is the time that the design needs, after the last fault, until
// every key has an owner: two rounds of elections with the longest timeouts,
// the wait for leases that an earlier leader may have given, and the commits
// and messages of opening sessions and assigning shards.
func settleNeed(settings config.Controller) time.Duration {
	return 2*longestElection(settings) + leaseWait(settings) + commitTime
}

// longestElection is the longest time without a leader before a replica asks for
// votes.
func longestElection(settings config.Controller) time.Duration {
	return 2 * time.Duration(settings.Consensus.ElectionTicks) * settings.Consensus.TickInterval
}

// leaseWait is how long a lease is waited out.
func leaseWait(settings config.Controller) time.Duration {
	return time.Duration(float64(settings.Lease.Duration)*(1+settings.Lease.ClockRateBound)) + settings.Lease.Margin
}

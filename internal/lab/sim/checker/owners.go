package checker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// HeldRange is a range of key hashes that a server process may serve.
type HeldRange struct {
	Shard, Epoch uint64
	First, Last  uint64
}

// Holding is what a server process may serve until its lease ends, in true time.
type Holding struct {
	Incarnation string
	Service     string
	Session     uint64
	LeaseEnd    time.Duration
	Ranges      []HeldRange
}

// Execution is one request that a server process executes.
type Execution struct {
	Request     uint64
	Incarnation string
	Session     uint64
	Key         string
	Epoch       uint64
	// LeaseEnd is the end of the process's lease in true time. Renewals within
	// the session move it.
	LeaseEnd time.Duration
	began    time.Duration
}

// keyOwner is the newest owner that executed a request of a key.
type keyOwner struct {
	epoch       uint64
	incarnation string
}

type ownerChecker struct {
	holdings []Holding
	running  []Execution
	newest   map[string]keyOwner
}

func newOwnerChecker() ownerChecker {
	return ownerChecker{newest: make(map[string]keyOwner)}
}

// Holds replaces what a server process may serve. Two processes must never be
// able to serve the same key at the same true time.
func (c *Checker) Holds(holding Holding) {
	c.counts.Holdings++
	c.forget(holding.Incarnation)
	for at, running := range c.owners.running {
		if running.Incarnation == holding.Incarnation && running.Session == holding.Session {
			c.owners.running[at].LeaseEnd = holding.LeaseEnd
		}
	}
	now := c.now()
	if holding.LeaseEnd <= now || len(holding.Ranges) == 0 {
		return
	}
	for _, other := range c.owners.holdings {
		if other.Service == holding.Service && other.LeaseEnd > now {
			c.compareHoldings(other, holding)
		}
	}
	c.owners.holdings = append(c.owners.holdings, holding)
}

func (c *Checker) compareHoldings(first, second Holding) {
	for _, one := range first.Ranges {
		for _, two := range second.Ranges {
			if one.First <= two.Last && two.First <= one.Last {
				c.Fail(OneOwner, "%s holds shard %d epoch %d until %v while %s holds shard %d epoch %d",
					first.Incarnation, one.Shard, one.Epoch, first.LeaseEnd, second.Incarnation, two.Shard, two.Epoch)
			}
		}
	}
}

func (c *Checker) forget(incarnation string) {
	c.owners.holdings = slices.DeleteFunc(c.owners.holdings, func(known Holding) bool { return known.Incarnation == incarnation })
}

// Uncovered returns the first key hash of a service that no process may serve
// now, and false if every hash is served.
func (c *Checker) Uncovered(service string) (uint64, bool) {
	return c.UncoveredIn(service, 0, math.MaxUint64)
}

// UncoveredIn is Uncovered for the hashes from first to last.
func (c *Checker) UncoveredIn(service string, first, last uint64) (uint64, bool) {
	next := first
	for _, held := range c.servedRanges(service) {
		if held.Last < next {
			continue
		}
		if held.First > next {
			return next, true
		}
		if held.Last >= last {
			return 0, false
		}
		next = held.Last + 1
	}
	return next, true
}

// servedRanges returns what is served now, by the first hash.
func (c *Checker) servedRanges(service string) []HeldRange {
	var ranges []HeldRange
	for _, known := range c.owners.holdings {
		if known.Service == service && known.LeaseEnd > c.now() {
			ranges = append(ranges, known.Ranges...)
		}
	}
	slices.SortFunc(ranges, func(a, b HeldRange) int { return cmp.Compare(a.First, b.First) })
	return ranges
}

// Died records that a server process is gone with all that it ran.
func (c *Checker) Died(incarnation string) {
	c.forget(incarnation)
	c.owners.running = slices.DeleteFunc(c.owners.running, func(known Execution) bool { return known.Incarnation == incarnation })
}

// Begins records the moment at which a request takes effect.
func (c *Checker) Begins(execution Execution) {
	execution.began = c.now()
	c.counts.Executions++
	for _, other := range c.owners.running {
		if other.Key == execution.Key && other.Incarnation != execution.Incarnation && other.LeaseEnd > execution.began {
			c.Fail(OneOwner, "%s begins request %d of key %s while %s runs request %d under a lease",
				execution.Incarnation, execution.Request, execution.Key, other.Incarnation, other.Request)
		}
	}
	c.checkEpoch(execution)
	c.owners.running = append(c.owners.running, execution)
}

func (c *Checker) checkEpoch(execution Execution) {
	newest, found := c.owners.newest[execution.Key]
	if found && execution.Epoch < newest.epoch {
		c.Fail(EpochOrder, "key %s runs at epoch %d on %s after epoch %d on %s",
			execution.Key, execution.Epoch, execution.Incarnation, newest.epoch, newest.incarnation)
	}
	if found && execution.Epoch == newest.epoch && execution.Incarnation != newest.incarnation {
		c.Fail(EpochContent, "key %s runs at epoch %d on %s and on %s",
			execution.Key, execution.Epoch, newest.incarnation, execution.Incarnation)
	}
	c.owners.newest[execution.Key] = keyOwner{execution.Epoch, execution.Incarnation}
}

// Ends records that an execution finished.
func (c *Checker) Ends(request uint64) {
	at := slices.IndexFunc(c.owners.running, func(known Execution) bool { return known.Request == request })
	if at < 0 {
		return
	}
	ended := c.owners.running[at]
	c.owners.running = slices.Delete(c.owners.running, at, at+1)
	// A lease bounds the start of a request; what outlasts it is no ownership.
	end := max(ended.began, min(c.now(), ended.LeaseEnd))
	c.histories.executed(ended, end)
}

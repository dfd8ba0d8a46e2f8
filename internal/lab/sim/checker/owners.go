package checker

import (
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
	LeaseEnd    time.Duration
	Ranges      []HeldRange
}

// Execution is one request that a server process executes.
type Execution struct {
	Request     string
	Incarnation string
	Server      string
	Service     string
	Key         string
	Keyed       bool
	Repeatable  bool
	Shard       uint64
	Epoch       uint64
	// LeaseEnd is the end of the process's lease in true time at the start.
	LeaseEnd time.Duration
	began    time.Duration
}

type serviceKey struct{ service, key string }

// keyOwner is the newest owner that executed a request of a key.
type keyOwner struct {
	epoch       uint64
	incarnation string
}

type ownerChecker struct {
	holdings []Holding
	running  map[serviceKey][]Execution
	newest   map[serviceKey]keyOwner
	// barred has the time since which a server must get nothing new.
	barred map[string]time.Duration
	// FinishedAfterLease counts executions that outlasted the lease under which
	// they began: a lease bounds starts.
	finishedAfterLease int
	executions         int
}

func newOwnerChecker() ownerChecker {
	return ownerChecker{
		running: make(map[serviceKey][]Execution),
		newest:  make(map[serviceKey]keyOwner),
		barred:  make(map[string]time.Duration),
	}
}

// Executions returns how many executions began.
func (c *Checker) Executions() int { return c.owners.executions }

// FinishedAfterLease returns how many executions ended after the lease under
// which they began.
func (c *Checker) FinishedAfterLease() int { return c.owners.finishedAfterLease }

// Holds replaces what a server process may serve.
func (c *Checker) Holds(holding Holding) {
	c.forget(holding.Incarnation)
	now := c.now()
	if holding.LeaseEnd <= now || len(holding.Ranges) == 0 {
		return
	}
	for _, other := range c.owners.holdings {
		if other.Service != holding.Service || other.LeaseEnd <= now {
			continue
		}
		c.compareHoldings(other, holding)
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

// Died records that a server process is gone with all that it ran.
func (c *Checker) Died(incarnation string) {
	c.forget(incarnation)
	for key, running := range c.owners.running {
		c.owners.running[key] = slices.DeleteFunc(running, func(known Execution) bool { return known.Incarnation == incarnation })
	}
}

// Bar records that a server must begin no execution after the given time.
func (c *Checker) Bar(server string, from time.Duration) { c.owners.barred[server] = from }

// Unbar records that a server may get work again.
func (c *Checker) Unbar(server string) { delete(c.owners.barred, server) }

// Begins records the moment at which a request takes effect.
func (c *Checker) Begins(execution Execution) {
	execution.began = c.now()
	c.owners.executions++
	c.countExecution(execution)
	if from, barred := c.owners.barred[execution.Server]; barred && execution.began > from {
		c.Fail(NoNewWork, "%s begins request %s %v after it should have got no new work",
			execution.Incarnation, execution.Request, execution.began-from)
	}
	if !execution.Keyed {
		return
	}
	key := serviceKey{execution.Service, execution.Key}
	for _, other := range c.owners.running[key] {
		if other.Incarnation != execution.Incarnation && other.LeaseEnd > execution.began {
			c.Fail(OneOwner, "%s begins request %s of key %s while %s runs request %s",
				execution.Incarnation, execution.Request, execution.Key, other.Incarnation, other.Request)
		}
	}
	c.checkEpoch(key, execution)
	c.owners.running[key] = append(c.owners.running[key], execution)
}

func (c *Checker) checkEpoch(key serviceKey, execution Execution) {
	newest, found := c.owners.newest[key]
	if found && execution.Epoch < newest.epoch {
		c.Fail(EpochOrder, "key %s runs at epoch %d on %s after epoch %d on %s",
			key.key, execution.Epoch, execution.Incarnation, newest.epoch, newest.incarnation)
	}
	if found && execution.Epoch == newest.epoch && execution.Incarnation != newest.incarnation {
		c.Fail(EpochContent, "key %s runs at epoch %d on %s and on %s",
			key.key, execution.Epoch, newest.incarnation, execution.Incarnation)
	}
	c.owners.newest[key] = keyOwner{execution.Epoch, execution.Incarnation}
}

// Ends records that an execution finished.
func (c *Checker) Ends(execution Execution) {
	key := serviceKey{execution.Service, execution.Key}
	running := c.owners.running[key]
	at := slices.IndexFunc(running, func(known Execution) bool {
		return known.Request == execution.Request && known.Incarnation == execution.Incarnation
	})
	if at < 0 {
		return
	}
	ended := running[at]
	c.owners.running[key] = slices.Delete(running, at, at+1)
	end := c.now()
	if end > ended.LeaseEnd {
		c.owners.finishedAfterLease++
		end = max(ended.began, ended.LeaseEnd)
	}
	c.histories.executed(key, ended, end)
}

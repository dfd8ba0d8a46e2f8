package record

import (
	"fmt"
)

// checkOwners finds keys that two server processes had at once. It rests on
// three rules: one epoch of a shard belongs to one process; the executions of a
// key, in the order of their starts, never go back to an earlier epoch, whatever
// the shard, and go back to an earlier shard, as a merge lets them, only at an
// epoch above all before; and executions of a key on two processes never overlap while both leases last.
func (c *checker) checkOwners() {
	c.checkEpochOwners()
	keys := make(map[serviceKey]*keyHistory)
	for _, start := range c.run.starts {
		c.countFinishedAfterLease(start)
		if !start.Keyed {
			continue
		}
		name := serviceKey{start.Service, start.Key}
		if keys[name] == nil {
			keys[name] = &keyHistory{shards: make(map[uint64]bool)}
		}
		if detail := keys[name].add(start, c.ownedUntil(start)); detail != "" {
			c.violate(startViolation(CountDoubleOwner, start, detail))
		}
	}
}

// shardEpoch names one period of ownership.
type shardEpoch struct {
	shard uint64
	epoch uint64
}

func (c *checker) checkEpochOwners() {
	owners := make(map[shardEpoch]Execution)
	for _, start := range c.run.starts {
		if !start.Keyed || start.Observed {
			continue
		}
		period := shardEpoch{start.Shard, start.Epoch}
		owner, known := owners[period]
		if !known {
			owners[period] = start
			continue
		}
		if owner.Incarnation != start.Incarnation {
			c.violate(startViolation(CountDoubleOwner, start, fmt.Sprintf("shard %d epoch %d ran on %s (%s) and on %s (%s)",
				start.Shard, start.Epoch, owner.Server, owner.Incarnation, start.Server, start.Incarnation)))
		}
	}
}

// ownedUntil is the end of the execution, but not after the end of its lease.
// An execution that never finished counts as a moment, since its process ended.
func (c *checker) ownedUntil(start Execution) int64 {
	finish, finished := c.run.finishes[executionID{start.Incarnation, start.Number}]
	if !finished {
		return start.MonotonicNs
	}
	return max(start.MonotonicNs, min(finish.MonotonicNs, start.LeaseEndNs))
}

func (c *checker) countFinishedAfterLease(start Execution) {
	finish, finished := c.run.finishes[executionID{start.Incarnation, start.Number}]
	if finished && finish.MonotonicNs > start.LeaseEndNs {
		c.summary.FinishedAfterLease++
	}
}

// keyHistory follows the executions of one key in the order of their starts.
type keyHistory struct {
	// shards has the shards that the key was in, and highest the highest epoch.
	shards  map[uint64]bool
	shard   uint64
	highest uint64
	// current is the newest execution's process; until is the latest end of an
	// execution on it, and otherUntil that on any process before it.
	current    string
	until      int64
	otherUntil int64
}

// add takes the next start and returns what is wrong with it, if anything.
func (h *keyHistory) add(start Execution, ownedUntil int64) string {
	detail := h.backward(start)
	if start.Incarnation != h.current {
		h.otherUntil = max(h.otherUntil, h.until)
		h.until = 0
		h.current = start.Incarnation
	}
	if detail == "" && start.MonotonicNs < h.otherUntil {
		detail = fmt.Sprintf("began on %s %d ns before the execution on another process ended",
			start.Server, h.otherUntil-start.MonotonicNs)
	}
	h.until = max(h.until, ownedUntil)
	if start.Observed {
		return detail
	}
	h.shard = start.Shard
	h.shards[start.Shard] = true
	h.highest = max(h.highest, start.Epoch)
	return detail
}

func (h *keyHistory) backward(start Execution) string {
	if start.Observed {
		return ""
	}
	if start.Epoch < h.highest {
		return fmt.Sprintf("ran at epoch %d of shard %d after epoch %d", start.Epoch, start.Shard, h.highest)
	}
	if h.shards[start.Shard] && start.Shard != h.shard && start.Epoch == h.highest {
		return fmt.Sprintf("ran in shard %d after it had moved on to shard %d", start.Shard, h.shard)
	}
	return ""
}

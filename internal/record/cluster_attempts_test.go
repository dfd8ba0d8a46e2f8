package record

import (
	"fmt"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// begin starts an attempt at an entry router.
func (c *testCluster) begin(entry *testRouter) {
	session := entry.session(c.views[entry.view])
	if session == 0 {
		return
	}
	c.serial++
	attempt := &testAttempt{entry: entry, active: true, claim: Claim{
		Key: c.keys[c.random.IntN(testKeys)], Attempt: fmt.Sprint(c.serial), Router: entry.identity.ID, Session: session,
	}}
	c.attempts = append(c.attempts, attempt)
	c.send(attempt)
}

func (c *testCluster) primaryFor(entry *testRouter) *testRouter {
	view := c.views[entry.view]
	if len(view.partitions) == 0 {
		return nil
	}
	return c.byIncarnation(view.partitions[0].Primary, view.partitions[0].PrimarySession, view)
}

func (c *testCluster) send(attempt *testAttempt) {
	primary := c.primaryFor(attempt.entry)
	if primary == nil {
		return
	}
	c.deliverLater(func() {
		placed := primary.core.Placed()
		if primary.dead || primary.failed == primary.core.Epoch() {
			return
		}
		verdict, stored := primary.core.Claim(c.moment(primary), primary.lease[placed.PrimarySession], attempt.claim, c.open(primary))
		switch verdict {
		case Granted:
			c.replicate(primary, placed, stored, func() { c.granted(attempt) })
		case AnswerKept:
			c.kept++
		case RecordsLost:
			c.lost++
			if position := slices.Index(c.keys, attempt.claim.Key); position >= 0 {
				c.keys[position] = c.newKey()
			}
		}
	})
}

// replicate stores a record in the order that the router uses: former copy, backup, then the check.
func (c *testCluster) replicate(primary *testRouter, placed state.RecordPartition, stored Record, done func()) {
	confirm := func() {
		if !primary.dead && primary.core.Confirm(c.moment(primary), primary.lease[placed.PrimarySession], placed.Epoch) {
			c.deliverLater(done)
		}
	}
	if c.random.IntN(150) == 0 && primary.core.Epoch() == placed.Epoch && placed.Backup != "" {
		primary.failed = placed.Epoch
	}
	if c.random.IntN(150) == 0 && primary.core.Epoch() == placed.Epoch && placed.Former != "" {
		primary.failedFormer = placed.Epoch
		return
	}
	next := func() { c.deliverLater(confirm) }
	if placed.Backup != "" && placed.Backup != placed.Former {
		next = c.storeStep(primary, placed, placed.Backup, placed.BackupSession, 0, stored, next)
	}
	if placed.Former != "" {
		c.formers++
		next = c.storeStep(primary, placed, placed.Former, placed.FormerSession, placed.FormerEpoch, stored, next)
	}
	next()
}

// storeStep returns a step that stores a record on one copy and then calls next if that succeeded.
func (c *testCluster) storeStep(primary *testRouter, placed state.RecordPartition, id state.RouterID, session state.SessionNumber, formerEpoch state.Epoch, stored Record, next func()) func() {
	return func() {
		receiver := c.byIncarnation(id, session, c.views[primary.view])
		c.deliverLater(func() {
			if receiver != nil && !receiver.dead && receiver.core.Store(placed.Epoch, formerEpoch, []Record{stored}) {
				next()
			}
		})
	}
}

func (c *testCluster) granted(attempt *testAttempt) {
	if attempt.entry.dead || !attempt.active || attempt.ran || attempt.end != 0 {
		return
	}
	c.grants++
	for _, other := range c.attempts {
		if other != attempt && other.ran && other.claim.Key == attempt.claim.Key {
			c.failure = fmt.Sprintf("attempt %s runs although attempt %s ran before", attempt.claim.Attempt, other.claim.Attempt)
		}
	}
	attempt.ran = true
}

// endOrResend completes an attempt, releases it, or resends its claim.
func (c *testCluster) endOrResend() {
	if len(c.attempts) == 0 {
		return
	}
	recent := min(len(c.attempts), 12)
	attempt := c.attempts[len(c.attempts)-1-c.random.IntN(recent)]
	switch {
	case attempt.entry.dead:
		return
	case attempt.end == 0 && !attempt.ran && c.random.IntN(3) > 0:
		c.send(attempt)
		return
	case attempt.end == 0 && attempt.ran:
		attempt.end = []Status{Completed, Unknown, Released}[c.random.IntN(3)]
	case attempt.end == 0:
		attempt.end = Released
	}
	attempt.active = false
	if attempt.end == Released {
		attempt.ran = false
	}
	c.complete(attempt)
}

func (c *testCluster) complete(attempt *testAttempt) {
	primary := c.primaryFor(attempt.entry)
	if primary == nil {
		return
	}
	completion := Completion{Claim: attempt.claim, Status: attempt.end}
	if attempt.end == Completed {
		completion.Answer = &Answer{Status: 200, Body: []byte(attempt.claim.Attempt)}
	}
	c.deliverLater(func() {
		placed := primary.core.Placed()
		if primary.dead {
			return
		}
		verdict, stored := primary.core.Complete(c.moment(primary), primary.lease[placed.PrimarySession], completion)
		if verdict == Stored {
			c.replicate(primary, placed, stored, func() {})
		}
	})
}

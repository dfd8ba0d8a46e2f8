package backend

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

const (
	// AttemptMemory is how long a back end remembers an attempt that finished
	// or was cancelled before it arrived. A cancel must come, and a cancelled
	// attempt may arrive, within this time.
	AttemptMemory = time.Minute
	// maxAttempts bounds the remembered attempts.
	maxAttempts = 200_000
)

type attemptState int

const (
	attemptWaiting attemptState = iota
	attemptRunning
	attemptFinished
	attemptCancelled
)

// attempt is what is known of one request identifier.
type attempt struct {
	state attemptState
	// cancelled closes when a waiting attempt is cancelled.
	cancelled chan struct{}
}

// remembered is an entry of a queue of attempts to forget.
type remembered struct {
	id      string
	attempt *attempt
	at      time.Duration
}

// attemptTable remembers attempts so that a cancel can be answered truthfully.
// Its caller holds the lock.
type attemptTable struct {
	limit    int
	attempts map[string]*attempt
	// finished and cancelled are ordered by time; each holds at most limit.
	finished  []remembered
	cancelled []remembered
	// doubtUntil is when an attempt that an earlier process of this server took, or
	// a finished one that was forgotten early, can no longer be mistaken for one
	// that never arrived.
	doubtUntil time.Duration
}

func newAttemptTable(limit int, started time.Duration) *attemptTable {
	return &attemptTable{limit: limit, attempts: make(map[string]*attempt), doubtUntil: started + AttemptMemory}
}

// arrive adds an attempt that waits to run; false when it was cancelled before.
func (t *attemptTable) arrive(id string) (*attempt, bool) {
	known, found := t.attempts[id]
	if found && known.state == attemptCancelled {
		return known, false
	}
	added := &attempt{state: attemptWaiting, cancelled: make(chan struct{})}
	t.attempts[id] = added
	return added, true
}

// start moves a waiting attempt to running; false when it was cancelled.
func (t *attemptTable) start(waiting *attempt) bool {
	if waiting.state != attemptWaiting {
		return false
	}
	waiting.state = attemptRunning
	return true
}

// end remembers an attempt that ran. One that was refused is forgotten: it
// never ran, and the router was told so.
func (t *attemptTable) end(now time.Duration, id string, ended *attempt) {
	switch ended.state {
	case attemptWaiting:
		t.drop(remembered{id: id, attempt: ended})
	case attemptRunning:
		ended.state = attemptFinished
		t.rememberFinished(remembered{id: id, attempt: ended, at: now})
	case attemptFinished, attemptCancelled:
	}
}

// cancel gives an attempt up, also one that has not arrived yet.
func (t *attemptTable) cancel(now time.Duration, id string) backendapi.CancelOutcome {
	t.forgetOld(now)
	known, found := t.attempts[id]
	if !found {
		return t.cancelUnknown(now, id)
	}
	switch known.state {
	case attemptWaiting:
		t.cancelWaiting(now, id, known)
		return backendapi.CancelNeverStarted
	case attemptCancelled:
		return backendapi.CancelNeverStarted
	case attemptFinished:
		return backendapi.CancelFinished
	default:
		return backendapi.CancelRunning
	}
}

// cancelWaiting needs no room in the table: the attempt has arrived already.
func (t *attemptTable) cancelWaiting(now time.Duration, id string, waiting *attempt) {
	waiting.state = attemptCancelled
	close(waiting.cancelled)
	if len(t.cancelled) < t.limit {
		t.cancelled = append(t.cancelled, remembered{id: id, attempt: waiting, at: now})
		return
	}
	delete(t.attempts, id)
}

// cancelUnknown promises "never started" only when the promise can be kept: no
// attempt was forgotten early, and there is room to remember the cancel.
func (t *attemptTable) cancelUnknown(now time.Duration, id string) backendapi.CancelOutcome {
	if now < t.doubtUntil || len(t.cancelled) >= t.limit {
		return backendapi.CancelRunning
	}
	tombstone := &attempt{state: attemptCancelled, cancelled: make(chan struct{})}
	t.attempts[id] = tombstone
	t.cancelled = append(t.cancelled, remembered{id: id, attempt: tombstone, at: now})
	return backendapi.CancelNeverStarted
}

func (t *attemptTable) rememberFinished(entry remembered) {
	t.forgetOld(entry.at)
	if len(t.finished) >= t.limit {
		t.doubtUntil = entry.at + AttemptMemory
		t.drop(t.finished[0])
		t.finished = t.finished[1:]
	}
	t.finished = append(t.finished, entry)
}

// forgetOld drops the entries that are older than AttemptMemory.
func (t *attemptTable) forgetOld(now time.Duration) {
	t.finished = t.dropBefore(t.finished, now-AttemptMemory)
	t.cancelled = t.dropBefore(t.cancelled, now-AttemptMemory)
}

func (t *attemptTable) dropBefore(entries []remembered, before time.Duration) []remembered {
	for len(entries) > 0 && entries[0].at <= before {
		t.drop(entries[0])
		entries = entries[1:]
	}
	return entries
}

// drop forgets the entry unless its identifier arrived again since.
func (t *attemptTable) drop(entry remembered) {
	if t.attempts[entry.id] == entry.attempt {
		delete(t.attempts, entry.id)
	}
}

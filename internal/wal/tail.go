package wal

import (
	"slices"
	"sort"

	"github.com/thorntiller/thorntiller/internal/consensus"
)

// termRun is a run of consecutive entries of one term that starts at First.
type termRun struct {
	First uint64
	Term  uint64
}

// tail describes the part of the log that the segments hold: the indexes from
// First to Last, their terms, and the newest marked snapshot.
type tail struct {
	First uint64
	Last  uint64
	Mark  snapshotPosition
	runs  []termRun
}

// newTail returns an empty tail whose first entry will follow the index last.
func newTail(last uint64, newest snapshotPosition) tail {
	return tail{First: last + 1, Last: last, Mark: newest}
}

// truncate drops the entries at and after an index.
func (t *tail) truncate(index uint64) {
	if index > t.Last {
		return
	}
	t.Last = index - 1
	t.First = min(t.First, index)
	t.runs = slices.DeleteFunc(t.runs, func(run termRun) bool { return run.First >= index })
}

// append adds entries, which overwrite those at and after their first index.
func (t *tail) append(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	t.truncate(entries[0].Index)
	for _, entry := range entries {
		if len(t.runs) == 0 || t.runs[len(t.runs)-1].Term != entry.Term {
			t.runs = append(t.runs, termRun{First: entry.Index, Term: entry.Term})
		}
		t.Last = entry.Index
	}
}

// term returns the term of the entry at an index, if the tail holds it.
func (t *tail) term(index uint64) (uint64, bool) {
	if index < t.First || index > t.Last {
		return 0, false
	}
	after := sort.Search(len(t.runs), func(i int) bool { return t.runs[i].First > index })
	return t.runs[after-1].Term, true
}

// isReplacedBy reports whether a snapshot replaces the log: the log ends before
// it, or the entry at its position has another term.
func (t *tail) isReplacedBy(snapshot snapshotPosition) bool {
	if snapshot.Index < t.First {
		return false
	}
	term, held := t.term(snapshot.Index)
	return !held || term != snapshot.Term
}

// setMark records a snapshot, which may replace the log.
func (t *tail) setMark(newest snapshotMark) {
	t.Mark = newest.Snapshot
	if newest.Replaces {
		*t = newTail(newest.Snapshot.Index, newest.Snapshot)
	}
}

// advanceFirst discards the terms of entries that no segment holds any more.
func (t *tail) advanceFirst(first uint64) {
	t.First = max(t.First, min(first, t.Last+1))
	for len(t.runs) > 1 && t.runs[1].First <= t.First {
		t.runs = t.runs[1:]
	}
}

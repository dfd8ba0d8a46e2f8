package consensus

import "slices"

// replicatedLog is the part of the log after the newest compaction, with the
// positions that the core tracks in it. Invariant:
// snapshotIndex <= applied <= committed <= lastIndex.
type replicatedLog struct {
	// snapshotIndex and snapshotTerm are the position before the first entry.
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
	committed     uint64
	applied       uint64
	// stable is the last index on stable storage.
	stable uint64
	// persisting is the last index that the outstanding Ready persists.
	persisting uint64
	// pendingSnapshot was received and is not on stable storage yet.
	pendingSnapshot *Snapshot
}

// newLog builds the log from the recovered state.
func newLog(initial InitialState) *replicatedLog {
	log := &replicatedLog{
		snapshotIndex: initial.Snapshot.Index,
		snapshotTerm:  initial.Snapshot.Term,
		entries:       slices.Clone(initial.Entries),
		applied:       initial.Snapshot.Index,
	}
	log.stable = log.lastIndex()
	log.persisting = log.stable
	log.committed = max(initial.HardState.Commit, log.snapshotIndex)
	return log
}

func (l *replicatedLog) firstIndex() uint64 {
	return l.snapshotIndex + 1
}

func (l *replicatedLog) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term at an index; false when the log does not hold it.
func (l *replicatedLog) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

func (l *replicatedLog) matches(index, term uint64) bool {
	own, found := l.term(index)
	return found && own == term
}

// isUpToDate reports whether a candidate's log is at least as up to date.
func (l *replicatedLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice returns a copy of the entries from first to last, both included, cut
// after maxBytes of data but holding at least one entry if there is any.
func (l *replicatedLog) slice(first, last uint64, maxBytes int) []Entry {
	if first > last {
		return nil
	}
	window := l.entries[first-l.firstIndex() : last+1-l.firstIndex()]
	size := 0
	for position, entry := range window {
		size += len(entry.Data)
		if position > 0 && size > maxBytes {
			window = window[:position]
			break
		}
	}
	return slices.Clone(window)
}

// view returns the entries from first to last without copying them.
func (l *replicatedLog) view(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.firstIndex() : last+1-l.firstIndex()]
}

func (l *replicatedLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
}

// merge takes entries that follow a matching position: it keeps what it holds
// already and replaces the log from the first entry that differs in term. It
// returns false when that entry is committed here.
func (l *replicatedLog) merge(entries []Entry) bool {
	for position, entry := range entries {
		if l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.committed {
			return false
		}
		l.truncate(entry.Index)
		l.entries = append(l.entries, entries[position:]...)
		return true
	}
	return true
}

// truncate drops the entries from an index on.
func (l *replicatedLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.entries = l.entries[:index-l.firstIndex()]
	l.stable = min(l.stable, index-1)
	l.persisting = min(l.persisting, index-1)
}

// conflictByTerm returns the highest position at or below index whose term is
// at most the given one. The term is 0 when the log does not hold the position.
func (l *replicatedLog) conflictByTerm(index, term uint64) (uint64, uint64) {
	for ; index > 0; index-- {
		own, found := l.term(index)
		if !found || own <= term {
			return index, own
		}
	}
	return 0, 0
}

// restore replaces the whole log by a snapshot.
func (l *replicatedLog) restore(snapshot *Snapshot) {
	l.snapshotIndex = snapshot.Metadata.Index
	l.snapshotTerm = snapshot.Metadata.Term
	l.entries = nil
	l.committed = l.snapshotIndex
	l.applied = l.snapshotIndex
	l.stable = l.snapshotIndex
	l.persisting = l.snapshotIndex
	l.pendingSnapshot = snapshot
}

// compact drops the entries up to index, which must be applied.
func (l *replicatedLog) compact(index uint64) {
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.snapshotIndex:])
	l.snapshotIndex = index
	l.snapshotTerm = term
}

// hasUnappliedMembership reports whether a committed change waits to be applied.
func (l *replicatedLog) hasUnappliedMembership() bool {
	return slices.ContainsFunc(l.view(l.applied+1, l.committed), isMembershipChange)
}

// dataBytes sums the entry data from first to last.
func (l *replicatedLog) dataBytes(first, last uint64) int {
	size := 0
	for _, entry := range l.view(first, last) {
		size += len(entry.Data)
	}
	return size
}

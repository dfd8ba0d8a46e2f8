package consensus

import "slices"

// replicatedLog is the log after the last compacted index, with the positions
// that the core tracks in it. Invariant:
// snapshotIndex <= applied <= committed <= lastIndex.
type replicatedLog struct {
	// snapshotIndex and snapshotTerm are the index and term of the entry before
	// the first one held.
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
	committed     uint64
	applied       uint64
	// stable is the last index on stable storage.
	stable uint64
	// persisting is the last index that the outstanding Ready persists.
	persisting uint64
	// pendingSnapshot is a received snapshot that is not on stable storage yet, or nil.
	pendingSnapshot *Snapshot
}

// newLog returns the log for a recovered state.
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

// term returns the term of the entry at index, or false if the log does not hold it.
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
	ownTerm, found := l.term(index)
	return found && ownTerm == term
}

// isUpToDate reports whether a candidate's log, which ends at the given index
// and term, is at least as up to date as this one.
func (l *replicatedLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice returns a copy of the entries from first to last inclusive, limited to
// maxBytes of data, but at least one entry if there is any.
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

// view returns the entries from first to last inclusive, without copying them.
func (l *replicatedLog) view(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.firstIndex() : last+1-l.firstIndex()]
}

func (l *replicatedLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
}

// merge adds entries that follow a matching position. Entries that the log
// already holds stay; from the first one whose term differs, the log is
// replaced. It returns false, and changes nothing, if that one is committed.
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

// truncate drops the entries from index on.
func (l *replicatedLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.entries = l.entries[:index-l.firstIndex()]
	l.stable = min(l.stable, index-1)
	l.persisting = min(l.persisting, index-1)
}

// conflictByTerm returns the highest index, at or below the given one, whose
// term is at most the given term, and its term. The search ends at an index that
// the log does not hold; its term is returned as 0.
func (l *replicatedLog) conflictByTerm(index, term uint64) (uint64, uint64) {
	for ; index > 0; index-- {
		ownTerm, found := l.term(index)
		if !found || ownTerm <= term {
			return index, ownTerm
		}
	}
	return 0, 0
}

// restore replaces the whole log with a snapshot.
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

// hasCommittedMembershipChange reports whether a committed membership change is not applied yet.
func (l *replicatedLog) hasCommittedMembershipChange() bool {
	return slices.ContainsFunc(l.view(l.applied+1, l.committed), isMembershipChange)
}

// dataBytes returns the data size of the entries from first to last.
func (l *replicatedLog) dataBytes(first, last uint64) int {
	size := 0
	for _, entry := range l.view(first, last) {
		size += len(entry.Data)
	}
	return size
}

package wal

import (
	"fmt"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// entryOverheadBytes is an upper bound of what an entry's encoding adds to its data.
const entryOverheadBytes = 32

// Log is an open write-ahead log. It is safe for concurrent use. After a failed
// write or sync every later call fails with the same error.
type Log struct {
	mutex      sync.Mutex
	fileSystem vfs.FileSystem
	directory  string
	options    Options
	file       vfs.File
	// size is the length of the newest segment in bytes.
	size     int64
	segments []segment
	tail     tail
	// hardState is the newest hard state on stable storage.
	hardState consensus.HardState
	// commit is the newest commit index given to Save.
	commit uint64
	// failure is returned by every call once the log has failed or is closed; nil before.
	failure error
}

// Save writes a hard state and entries and returns once they are on stable
// storage. Entries overwrite those at and after their first index; they must
// not leave a gap. A hard state that differs in Commit alone is kept in memory
// and written with the next record or by Close, since a restarted replica
// learns the commit index again. Invalid arguments return an error and leave
// the log usable.
func (l *Log) Save(hardState *consensus.HardState, entries []consensus.Entry) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if err := l.checkSave(hardState, entries); err != nil {
		return err
	}
	target := l.hardState
	if hardState != nil {
		l.commit = max(l.commit, hardState.Commit)
		target = *hardState
	}
	target.Commit = l.commit
	changed := target.Term != l.hardState.Term || target.Vote != l.hardState.Vote
	if len(entries) == 0 && !changed {
		return nil
	}
	return l.saveRecords(target, entries)
}

// SyncCommit returns once a commit index is on stable storage. The entries up
// to it must have been saved. Save alone may keep the index in memory, but a
// replica that has applied a committed membership change must know after a
// restart that it is committed.
func (l *Log) SyncCommit(index uint64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if index <= l.hardState.Commit {
		return nil
	}
	if index > l.tail.Last {
		return eris.Errorf("commit index %d is beyond the log's end %d", index, l.tail.Last)
	}
	l.commit = max(l.commit, index)
	target := l.hardState
	target.Commit = l.commit
	return l.write(record{HardState: &target})
}

// checkSave validates the arguments of Save against the state of the log.
func (l *Log) checkSave(hardState *consensus.HardState, entries []consensus.Entry) error {
	last := l.tail.Last
	if len(entries) > 0 {
		if err := checkEntries(entries, last); err != nil {
			return err
		}
		if lastImmutable := max(l.tail.Mark.Index, l.commit); entries[0].Index <= lastImmutable {
			return eris.Errorf("entries begin at index %d, but up to %d they are committed or in a snapshot",
				entries[0].Index, lastImmutable)
		}
		last = entries[len(entries)-1].Index
	}
	if hardState == nil {
		return nil
	}
	if hardState.Term < l.hardState.Term {
		return eris.Errorf("term %d is lower than the saved term %d", hardState.Term, l.hardState.Term)
	}
	if hardState.Commit > last {
		return eris.Errorf("commit index %d is beyond the log's end %d; save and mark the snapshot first",
			hardState.Commit, last)
	}
	return nil
}

// saveRecords writes entries in records of bounded size. The hard state goes into
// the last one, so that a recovered commit index is never beyond the entries.
func (l *Log) saveRecords(hardState consensus.HardState, entries []consensus.Entry) error {
	for {
		count := l.recordEntryCount(entries)
		next := record{Entries: entries[:count]}
		entries = entries[count:]
		if len(entries) == 0 {
			next.HardState = &hardState
		}
		if err := l.write(next); err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
	}
}

// recordEntryCount returns how many of the entries fit into the next record, at least one if there are any.
func (l *Log) recordEntryCount(entries []consensus.Entry) int {
	size := 0
	for count, entry := range entries {
		size += len(entry.Data) + entryOverheadBytes
		if count > 0 && size > l.options.RecordBytes {
			return count
		}
	}
	return len(entries)
}

// MarkSnapshot records that a snapshot at this position is on stable storage.
// If the log's entry there has another term, or the log ends before it, the
// snapshot replaces the whole log, and the next entry is index + 1. It must be
// called after a snapshot from the leader has been stored and before the next
// Save; for a snapshot that the replica took itself it is optional. A snapshot
// that is not newer than the last marked one is ignored.
func (l *Log) MarkSnapshot(index, term uint64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.markSnapshot(index, term)
}

func (l *Log) markSnapshot(index, term uint64) error {
	if l.failure != nil {
		return l.failure
	}
	if index <= l.tail.Mark.Index {
		return nil
	}
	newest := snapshotMark{Snapshot: snapshotPosition{Index: index, Term: term}}
	newest.Replaces = l.tail.isReplacedBy(newest.Snapshot)
	if newest.Replaces && index <= min(l.commit, l.tail.Last) {
		return eris.Errorf("snapshot at index %d has term %d, but the committed entry there has another", index, term)
	}
	return l.write(record{Mark: &newest})
}

// write appends one record, syncs it and applies it to the in-memory state. It
// rotates to a new segment first if the newest one is full.
func (l *Log) write(value record) error {
	frame, err := encodeRecord(value)
	if err != nil {
		return err
	}
	if err := l.writeFrame(frame); err != nil {
		return l.fail(err)
	}
	l.tail.append(value.Entries)
	if value.HardState != nil {
		l.hardState = *value.HardState
	}
	if value.Mark != nil {
		l.tail.setMark(*value.Mark)
	}
	if len(value.Entries) > 0 {
		newest := &l.segments[len(l.segments)-1]
		newest.Last = max(newest.Last, l.tail.Last)
	}
	return nil
}

// fail makes every later call return the same error. The error is built with
// fmt.Errorf, since wrapping an eris error again modifies it and several callers
// may hold this one.
func (l *Log) fail(err error) error {
	l.failure = fmt.Errorf("write-ahead log failed; remedy: mend the disk and start the replica again: %w", err)
	return l.failure
}

func (l *Log) writeFrame(frame []byte) error {
	if l.size >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(frame); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.size += int64(len(frame))
	return nil
}

// rotate creates a new segment and makes it the newest one.
func (l *Log) rotate() error {
	newest := l.segments[len(l.segments)-1].Name
	next := segment{Name: segmentName{Sequence: newest.Sequence + 1, First: l.tail.Last + 1}}
	if err := l.createSegment(next.Name.Sequence); err != nil {
		return err
	}
	l.segments = append(l.segments, next)
	return nil
}

// Release deletes the oldest segments that hold no entry above index. Index
// must not be above the index of a snapshot on stable storage. Each removal is
// durable before the next, so that a crash leaves no gap between segments. If a
// removal fails, the log stays usable and a later Release retries; if the sync
// of the directory fails, the log fails.
func (l *Log) Release(index uint64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	for len(l.segments) > 1 && l.segments[0].Last <= index {
		path := filepath.Join(l.directory, l.segments[0].Name.file())
		if err := l.fileSystem.Remove(path); err != nil {
			return eris.Wrapf(err, "remove log segment %s", path)
		}
		if err := l.fileSystem.SyncDir(l.directory); err != nil {
			return l.fail(eris.Wrapf(err, "sync directory %s", l.directory))
		}
		l.segments = l.segments[1:]
		l.tail.advanceFirst(l.segments[0].Name.First)
	}
	return nil
}

// Close writes the newest commit index and closes the log. It may be called more
// than once.
func (l *Log) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.closeFile(ErrClosed)
	}
	var err error
	if l.commit > l.hardState.Commit {
		target := l.hardState
		target.Commit = l.commit
		err = l.write(record{HardState: &target})
	}
	closeErr := l.closeFile(ErrClosed)
	if err != nil {
		return err
	}
	return closeErr
}

// closeFile closes the newest segment if it is open. Later calls on the log fail
// with the reason, unless the log has already failed.
func (l *Log) closeFile(reason error) error {
	if l.failure == nil {
		l.failure = reason
	}
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return eris.Wrap(err, "close the write-ahead log")
}

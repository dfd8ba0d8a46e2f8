package wal

import (
	"fmt"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// replay rebuilds the state of the log from its segments in sequence order.
type replay struct {
	fileSystem vfs.FileSystem
	directory  string
	hardState  consensus.HardState
	tail       tail
	// entries holds the entries from tail.First to tail.Last.
	entries  []consensus.Entry
	segments []segment
	// lastData is the valid part of the last segment.
	lastData []byte
	// cutBytes is the length of the torn end of the last segment.
	cutBytes int
}

// run reads every segment.
func (r *replay) run() error {
	names, err := listSegments(r.fileSystem, r.directory)
	if err != nil {
		return err
	}
	for position, name := range names {
		if position > 0 && name.Sequence != names[position-1].Sequence+1 {
			return r.damage(name.file(), 0, "the segment before it is missing")
		}
		if err := r.readSegment(name, position == len(names)-1); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) readSegment(name segmentName, last bool) error {
	path := filepath.Join(r.directory, name.file())
	data, err := vfs.ReadFile(r.fileSystem, path)
	if err != nil {
		return eris.Wrap(err, "replay the write-ahead log")
	}
	r.segments = append(r.segments, segment{Name: name})
	offset := 0
	for offset < len(data) {
		value, next, reason := decodeRecord(data, offset)
		if reason != "" {
			if offset > 0 && last && isTorn(data, offset) {
				r.cutBytes = len(data) - offset
				break
			}
			return r.damage(name.file(), offset, reason)
		}
		if err := r.apply(name, offset, value); err != nil {
			return err
		}
		offset = next
	}
	if offset == 0 {
		return r.damage(name.file(), 0, "segment is empty")
	}
	r.lastData = data[:offset]
	return nil
}

// apply applies one record to the state.
func (r *replay) apply(name segmentName, offset int, value record) error {
	if (offset == 0) != (value.Header != nil) {
		return r.damage(name.file(), offset, "segment header is missing or out of place")
	}
	if value.Header != nil {
		return r.applyHeader(name, *value.Header)
	}
	if reason := r.applyEntries(value.Entries); reason != "" {
		return r.damage(name.file(), offset, reason)
	}
	if value.HardState != nil {
		r.hardState = *value.HardState
	}
	if value.Mark != nil {
		r.applyMark(*value.Mark)
	}
	return nil
}

func (r *replay) applyHeader(name segmentName, header segmentHeader) error {
	if header.Version != formatVersion {
		return eris.Errorf("write-ahead log %s has format version %d, this program reads version %d; "+
			"remedy: run the program version that wrote it",
			filepath.Join(r.directory, name.file()), header.Version, formatVersion)
	}
	if header.Sequence != name.Sequence || header.Last+1 != name.First {
		return r.damage(name.file(), 0, "segment header belongs to another file name")
	}
	if len(r.segments) == 1 {
		r.hardState = header.HardState
		r.tail = newTail(header.Last, header.Mark)
		return nil
	}
	if header.Last != r.tail.Last || header.Mark != r.tail.Mark || header.HardState != r.hardState {
		return r.damage(name.file(), 0, fmt.Sprintf(
			"it continues a log that ends at index %d, but the segments before it end at %d or differ in state",
			header.Last, r.tail.Last))
	}
	return nil
}

func (r *replay) applyEntries(entries []consensus.Entry) (reason string) {
	if len(entries) == 0 {
		return ""
	}
	if err := checkEntries(entries, r.tail.Last); err != nil {
		return err.Error()
	}
	first := entries[0].Index
	if first < r.tail.First {
		r.entries = nil
	} else {
		r.entries = r.entries[:first-r.tail.First]
	}
	r.entries = append(r.entries, entries...)
	r.tail.append(entries)
	segment := &r.segments[len(r.segments)-1]
	segment.Last = max(segment.Last, r.tail.Last)
	return ""
}

func (r *replay) applyMark(newest snapshotMark) {
	r.tail.setMark(newest)
	if newest.Replaces {
		r.entries = nil
	}
}

// after returns the entries after a snapshot index.
func (r *replay) after(snapshotIndex uint64) []consensus.Entry {
	if snapshotIndex < r.tail.First {
		return r.entries
	}
	return r.entries[min(snapshotIndex+1-r.tail.First, uint64(len(r.entries))):]
}

// check verifies that the replayed log is consistent with the newest snapshot.
func (r *replay) check(options Options) error {
	if r.tail.First > options.SnapshotIndex+1 {
		return r.damage("", 0, fmt.Sprintf(
			"it begins at index %d, but the newest intact snapshot ends at index %d",
			r.tail.First, options.SnapshotIndex))
	}
	if r.hardState.Commit > max(r.tail.Last, options.SnapshotIndex) {
		return r.damage("", 0, fmt.Sprintf("index %d is committed, but the log ends at %d",
			r.hardState.Commit, r.tail.Last))
	}
	term, held := r.tail.term(options.SnapshotIndex)
	if held && options.SnapshotIndex <= r.tail.Mark.Index && term != options.SnapshotTerm {
		return r.damage("", 0, fmt.Sprintf("the entry at index %d has term %d, but the snapshot there has term %d",
			options.SnapshotIndex, term, options.SnapshotTerm))
	}
	return nil
}

func (r *replay) damage(file string, offset int, reason string) error {
	return eris.Wrap(&DamageError{
		File:   filepath.Join(r.directory, file),
		Offset: int64(offset),
		Reason: reason,
	}, "open the write-ahead log")
}

// checkEntries verifies that entries are contiguous and leave no gap after a log
// that ends at last.
func checkEntries(entries []consensus.Entry, last uint64) error {
	first := entries[0].Index
	if first == 0 || first > last+1 {
		return eris.Errorf("entries begin at index %d, but the log ends at %d", first, last)
	}
	for position, entry := range entries {
		if entry.Index != first+uint64(position) {
			return eris.Errorf("entry at index %d follows index %d", entry.Index, first+uint64(position)-1)
		}
	}
	return nil
}

package wal

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// Defaults of Options.
const (
	DefaultSegmentBytes = 16 << 20
	DefaultRecordBytes  = 16 << 20
)

// Options configures a log.
type Options struct {
	// SnapshotIndex and SnapshotTerm are the position of the newest intact
	// snapshot; both zero for none.
	SnapshotIndex uint64
	SnapshotTerm  uint64
	// MustExist makes Open fail if the directory holds no log. Set it if the
	// replica has a stored identity, since that is saved only after the log was
	// first opened.
	MustExist bool
	// SegmentBytes is the size at which the log rotates to a new segment; a
	// segment exceeds it by one record at most. Zero means DefaultSegmentBytes.
	SegmentBytes int64
	// RecordBytes is the size of entries above which Save splits them into
	// several records. Zero
	// means DefaultRecordBytes.
	RecordBytes int
}

// Recovered is the state read by Open. All of it is on stable storage.
type Recovered struct {
	// HardState is the newest saved hard state. Its Commit is at least the
	// snapshot index, but may be lower than the last one given to Save; see Save.
	HardState consensus.HardState
	// Entries follow Options.SnapshotIndex without a gap.
	Entries []consensus.Entry
	// CutBytes is the length of the torn record truncated from the end of the
	// log; zero for none.
	CutBytes int
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.RecordBytes <= 0 {
		o.RecordBytes = DefaultRecordBytes
	}
	return o
}

func (o Options) check() error {
	if (o.SnapshotIndex == 0) != (o.SnapshotTerm == 0) {
		return eris.Errorf("wal.Options: SnapshotIndex %d and SnapshotTerm %d: give both or neither",
			o.SnapshotIndex, o.SnapshotTerm)
	}
	if o.RecordBytes > recordLimitBytes/2 {
		return eris.Errorf("wal.Options: RecordBytes %d exceeds %d", o.RecordBytes, recordLimitBytes/2)
	}
	return nil
}

// Open reads the log in a directory, or creates one if there is none. It
// returns a DamageError if entries that may have been acknowledged cannot be
// read, or if entries are missing between the snapshot and the start of the log.
func Open(fileSystem vfs.FileSystem, directory string, options Options) (*Log, Recovered, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, Recovered{}, err
	}
	if err := fileSystem.MkdirAll(directory); err != nil {
		return nil, Recovered{}, eris.Wrapf(err, "create %s", directory)
	}
	if err := vfs.RemoveTemporary(fileSystem, directory); err != nil {
		return nil, Recovered{}, err
	}
	replayed := replay{fileSystem: fileSystem, directory: directory}
	if err := replayed.run(); err != nil {
		return nil, Recovered{}, err
	}
	log := &Log{fileSystem: fileSystem, directory: directory, options: options}
	if err := log.resume(&replayed); err != nil {
		_ = log.closeFile(ErrClosed) // the first error is the one to report
		return nil, Recovered{}, err
	}
	recovered := Recovered{
		HardState: replayed.hardState,
		Entries:   replayed.after(options.SnapshotIndex),
		CutBytes:  replayed.cutBytes,
	}
	recovered.HardState.Commit = max(recovered.HardState.Commit, options.SnapshotIndex)
	return log, recovered, nil
}

// resume makes the log writable after a replay. It rewrites the last segment
// without its torn end.
func (l *Log) resume(replayed *replay) error {
	if len(replayed.segments) == 0 {
		return l.createFirstSegment(replayed)
	}
	if err := replayed.check(l.options); err != nil {
		return err
	}
	l.hardState = replayed.hardState
	l.commit = replayed.hardState.Commit
	l.tail = replayed.tail
	l.segments = replayed.segments
	newest := l.segments[len(l.segments)-1].Name
	if err := l.startSegment(newest, replayed.lastData); err != nil {
		return err
	}
	replaces := l.tail.isReplacedBy(snapshotPosition{Index: l.options.SnapshotIndex, Term: l.options.SnapshotTerm})
	if err := l.markSnapshot(l.options.SnapshotIndex, l.options.SnapshotTerm); err != nil {
		return err
	}
	if replaces {
		replayed.entries = nil
	}
	return nil
}

// createFirstSegment creates the first segment of a new log. It returns a
// DamageError if the replica has state, since its log is then missing.
func (l *Log) createFirstSegment(replayed *replay) error {
	if l.options.MustExist || l.options.SnapshotIndex > 0 {
		return replayed.damage("", 0, "its segments are missing, but this replica has state")
	}
	l.tail = newTail(0, snapshotPosition{})
	replayed.tail = l.tail
	first := segment{Name: segmentName{Sequence: 1, First: 1}}
	if err := l.createSegment(first.Name.Sequence); err != nil {
		return err
	}
	l.segments = []segment{first}
	return nil
}

package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/vfs"
)

const segmentSuffix = ".wal"

// segmentName identifies a segment by its sequence number and the index after
// the end of the log when the segment was created.
type segmentName struct {
	Sequence uint64
	First    uint64
}

// segment is one file of the log.
type segment struct {
	Name segmentName
	// Last is the highest index that the segment holds; zero if it holds no entry.
	Last uint64
}

func (n segmentName) file() string {
	return fmt.Sprintf("%016x-%016x%s", n.Sequence, n.First, segmentSuffix)
}

func parseSegmentName(file string) (segmentName, bool) {
	var name segmentName
	count, err := fmt.Sscanf(file, "%016x-%016x"+segmentSuffix, &name.Sequence, &name.First)
	return name, err == nil && count == 2 && name.file() == file
}

// listSegments returns the segments in a directory in sequence order, which is
// the order of their file names.
func listSegments(fileSystem vfs.FileSystem, directory string) ([]segmentName, error) {
	files, err := fileSystem.ReadDir(directory)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", directory)
	}
	var names []segmentName
	for _, file := range files {
		if !strings.HasSuffix(file, segmentSuffix) {
			continue
		}
		name, valid := parseSegmentName(file)
		if !valid {
			return nil, eris.Errorf("write-ahead log directory %s holds %q, which is no segment name; "+
				"remedy: move it away", directory, file)
		}
		names = append(names, name)
	}
	return names, nil
}

// createSegment creates the next segment. Its content and its directory entry are
// on stable storage on return.
func (l *Log) createSegment(sequence uint64) error {
	header := segmentHeader{
		Version:   formatVersion,
		Sequence:  sequence,
		HardState: l.hardState,
		Last:      l.tail.Last,
		Mark:      l.tail.Mark,
	}
	frame, err := encodeRecord(record{Header: &header})
	if err != nil {
		return err
	}
	return l.startSegment(segmentName{Sequence: sequence, First: l.tail.Last + 1}, frame)
}

// startSegment writes a segment with the given content and opens it for appending.
func (l *Log) startSegment(name segmentName, content []byte) error {
	path := filepath.Join(l.directory, name.file())
	if err := vfs.WriteFileAtomic(l.fileSystem, path, content); err != nil {
		return eris.Wrap(err, "write log segment")
	}
	file, err := l.fileSystem.OpenAppend(path)
	if err != nil {
		return eris.Wrapf(err, "open log segment %s", path)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return eris.Wrap(err, "close log segment")
		}
	}
	l.file = file
	l.size = int64(len(content))
	return nil
}

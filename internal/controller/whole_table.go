package controller

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/tablestream"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// fullTableTTL is how long an encoded full table is reused for routers that need one; they continue from its
// revision by the history. Many routers ask at once after the loss of a leader or a zone.
const fullTableTTL = 10 * time.Second

// fullTableCache holds the latest full table that was encoded for the streams. It is safe for concurrent use.
type fullTableCache struct {
	mutex     sync.Mutex
	encodedAt time.Duration
	encoded   *encodedTable
}

// get returns a full table that is not older than a revision. Concurrent callers wait while one of them
// encodes it.
func (t *fullTableCache) get(r *replica, atLeast state.Revision) *encodedTable {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usable := t.encoded != nil && t.encoded.table.Revision >= atLeast && r.clock.Now()-t.encodedAt < fullTableTTL && r.history.Reaches(t.encoded.table.Revision)
	if !usable {
		t.encoded, t.encodedAt = newEncodedTable(r), r.clock.Now()
	}
	return t.encoded
}

// drop discards the table, for example when this replica stops leading.
func (t *fullTableCache) drop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.encoded = nil
}

// encodedTable is the routing table at one revision. Each section is encoded once, for all streams whose part
// of the table contains it.
type encodedTable struct {
	table    tablestream.Table
	sections map[state.ServiceName]*encodedSection
}

type encodedSection struct {
	once sync.Once
	// objects are released once they are encoded.
	objects []state.Object
	frames  []wire.Frame
	err     error
}

func newEncodedTable(r *replica) *encodedTable {
	frozen, newest := r.frozenTable()
	encoded := &encodedTable{table: newest, sections: make(map[state.ServiceName]*encodedSection)}
	for _, object := range frozen.Objects() {
		name := object.Section()
		if encoded.sections[name] == nil {
			encoded.sections[name] = &encodedSection{}
		}
		encoded.sections[name].objects = append(encoded.sections[name].objects, object)
	}
	return encoded
}

// send passes the frames of a part of the table to a function: an empty first frame, the frames of each
// section in chunks of a bounded size, and an empty last frame with the digest of the part.
func (t *encodedTable) send(subset table.Subset, size int, send func(wire.Frame) error) error {
	if err := t.sendOne(message.TableSnapshot{First: true}, send); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(t.sections)) {
		if !subset.Holds(name) {
			continue
		}
		frames, err := t.section(name, size)
		if err != nil {
			return err
		}
		for _, frame := range frames {
			if err := send(frame); err != nil {
				return err
			}
		}
	}
	return t.sendOne(message.TableSnapshot{Last: true, Digest: subset.Digest(t.table.Sections)}, send)
}

func (t *encodedTable) sendOne(part message.TableSnapshot, send func(wire.Frame) error) error {
	frame, err := t.encode(part)
	if err != nil {
		return err
	}
	return send(frame)
}

func (t *encodedTable) encode(part message.TableSnapshot) (wire.Frame, error) {
	part.Cluster = t.table.Cluster
	part.Revision = t.table.Revision
	return wire.Encode(&message.ControllerFrame{Snapshot: &part})
}

// section returns the frames of one section, which is encoded at the first call.
func (t *encodedTable) section(name state.ServiceName, size int) ([]wire.Frame, error) {
	section := t.sections[name]
	section.once.Do(func() {
		for objects := range slices.Chunk(section.objects, max(size, 1)) {
			frame, err := t.encode(message.TableSnapshot{Objects: objects})
			if err != nil {
				section.err = err
				return
			}
			section.frames = append(section.frames, frame)
		}
		section.objects = nil
	})
	return section.frames, section.err
}

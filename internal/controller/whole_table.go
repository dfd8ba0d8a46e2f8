package controller

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/tablestream"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// sharedFor is how long a whole table is sent to routers that ask for one; the
// history leads them on from its revision. Many ask at once after the loss of a
// leader or a zone.
const sharedFor = 10 * time.Second

// wholeTable is the newest whole table that was encoded for the streams. It is
// safe for concurrent use.
type wholeTable struct {
	mutex    sync.Mutex
	revision state.Revision
	made     time.Duration
	frames   []wire.Frame
}

// get returns the frames of a whole table that is not older than a revision, and
// its own revision. Callers that come while it is being made wait for it.
func (t *wholeTable) get(r *replica, atLeast state.Revision) ([]wire.Frame, state.Revision, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usable := t.frames != nil && t.revision >= atLeast && r.clock.Now()-t.made < sharedFor && r.history.Reaches(t.revision)
	if usable {
		return t.frames, t.revision, nil
	}
	frames, revision, err := encodeTable(r)
	if err != nil {
		return nil, 0, err
	}
	t.frames, t.revision, t.made = frames, revision, r.clock.Now()
	return frames, revision, nil
}

// forget drops the table, as when this replica stops leading.
func (t *wholeTable) forget() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.frames = nil
}

// encodeTable encodes the present table in parts of a bounded size.
func encodeTable(r *replica) ([]wire.Frame, state.Revision, error) {
	frozen, table := r.frozenTable()
	var frames []wire.Frame
	for _, part := range tablestream.Parts(table, frozen.Objects(), r.settings.Table.SnapshotObjects) {
		frame, err := wire.Encode(&message.ControllerFrame{Snapshot: &part})
		if err != nil {
			return nil, 0, err
		}
		frames = append(frames, frame)
	}
	return frames, table.Revision, nil
}

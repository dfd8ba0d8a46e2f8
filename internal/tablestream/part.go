package tablestream

import (
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// filteredStream is the state of a stream to a router that subscribes to some
// services. Changes that do not affect these are not sent; the router learns
// their revision with the next change that does, or before the next pong.
type filteredStream struct {
	subset table.Subset
	// processed is the revision after the last change that was processed, sent or
	// not; digest is the subset's digest at that revision.
	processed state.Revision
	digest    uint64
}

func (s *filteredStream) reset(revision state.Revision, digest uint64) {
	s.processed = revision
	s.digest = digest
}

// digestBefore returns the subset's digest before the changes, given its digest
// at a later revision. Changes after that revision are ignored.
func (s *filteredStream) digestBefore(changes []*Change, revision state.Revision, digest uint64) uint64 {
	for _, change := range changes {
		if change.Delta.To <= revision {
			digest ^= s.subset.Digest(change.Differences)
		}
	}
	return digest
}

// take processes the next change and returns the delta from the revision that was
// sent last; false if the delta need not be sent yet.
func (s *filteredStream) take(sent state.Revision, change *Change) (message.TableDelta, bool) {
	objects := s.subset.Filter(change.Delta.Objects)
	difference := s.subset.Digest(change.Differences)
	s.processed = change.Delta.To
	s.digest ^= difference
	return s.delta(sent, objects), len(objects) > 0 || difference != 0
}

func (s *filteredStream) delta(sent state.Revision, objects []state.Object) message.TableDelta {
	return message.TableDelta{From: sent, To: s.processed, Objects: objects, Digest: s.digest}
}

// Subscribe does what Begin does for the subset of the table that the router
// subscribes to.
func Subscribe(hello message.RouterHello, newest Table, history *History) Position {
	subset := table.NewSubset(hello.Services)
	if subset.Whole() {
		return Begin(hello, newest)
	}
	newest.Digest = subset.Digest(newest.Sections)
	position := Begin(hello, newest)
	position.filtered = &filteredStream{subset: subset}
	if !position.needsSnapshot {
		position.beginFiltered(hello, newest, history)
	}
	return position
}

// beginFiltered computes the subset's digest at the router's revision, backwards
// from the newest one. A router whose digest differs needs a snapshot.
func (p *Position) beginFiltered(hello message.RouterHello, newest Table, history *History) {
	changes, _, reached := history.After(hello.Revision)
	digest := p.filtered.digestBefore(changes, newest.Revision, newest.Digest)
	p.needsSnapshot = !reached || digest != hello.Digest
	p.filtered.reset(hello.Revision, digest)
}

// Subset returns the subset of the table that the router subscribes to.
func (p *Position) Subset() table.Subset {
	if p.filtered == nil {
		return table.Subset{}
	}
	return p.filtered.subset
}

// processedRevision returns the revision from which the next changes are due.
func (p *Position) processedRevision() state.Revision {
	if p.filtered == nil {
		return p.sent
	}
	return p.filtered.processed
}

// Take processes the next change and returns the frame to send; false if none
// need be sent yet. The position counts the frame as sent, so a stream that fails
// to send it must be closed.
func (p *Position) Take(change *Change) (wire.Frame, bool, error) {
	if p.filtered == nil {
		p.SentChange(change)
		frame, err := change.Encoded()
		return frame, true, err
	}
	delta, due := p.filtered.take(p.sent, change)
	if !due {
		return wire.Frame{}, false, nil
	}
	p.sent = delta.To
	frame, err := wire.Encode(&message.ControllerFrame{Delta: &delta})
	return frame, true, err
}

// CatchUp returns a delta without objects that moves the router to the revision of
// changes outside its subset; false if there are none. It must be sent before a
// pong, which confirms nothing to a router whose revision is lower.
func (p *Position) CatchUp() (message.TableDelta, bool) {
	if p.processedRevision() == p.sent {
		return message.TableDelta{}, false
	}
	delta := p.filtered.delta(p.sent, nil)
	p.sent = delta.To
	return delta, true
}

// SentTable records that the router's subset of a snapshot was sent.
func (p *Position) SentTable(sent Table) {
	p.SentSnapshot(sent.Revision)
	if p.filtered != nil {
		p.filtered.reset(sent.Revision, p.filtered.subset.Digest(sent.Sections))
	}
}

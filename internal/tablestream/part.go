package tablestream

import (
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// part is what a stream knows of a router that subscribes to some services.
// Changes that do not touch them are not sent; the router hears of their
// revision with the next change that does, or before the next pong.
type part struct {
	subset table.Subset
	// taken is the revision of the last change that was looked at, digest that of
	// the part there.
	taken  state.Revision
	digest uint64
}

func (p *part) begin(revision state.Revision, digest uint64) {
	p.taken = revision
	p.digest = digest
}

// before returns the digest of the part before some changes, given the one at a
// later revision; changes beyond that revision do not count.
func (p *part) before(changes []*Change, revision state.Revision, digest uint64) uint64 {
	for _, change := range changes {
		if change.Delta.To <= revision {
			digest ^= p.subset.Digest(change.Differences)
		}
	}
	return digest
}

// take looks at the next change and returns the delta that leads the router on
// from the revision that was sent last; false if it need not be sent yet.
func (p *part) take(sent state.Revision, change *Change) (message.TableDelta, bool) {
	objects := p.subset.Filter(change.Delta.Objects)
	difference := p.subset.Digest(change.Differences)
	p.taken = change.Delta.To
	p.digest ^= difference
	return p.delta(sent, objects), len(objects) > 0 || difference != 0
}

func (p *part) delta(sent state.Revision, objects []state.Object) message.TableDelta {
	return message.TableDelta{From: sent, To: p.taken, Objects: objects, Digest: p.digest}
}

// Subscribe decides, as Begin does, what the router holds already of the part of
// the table that it subscribes to.
func Subscribe(hello message.RouterHello, newest Table, history *History) Position {
	subset := table.NewSubset(hello.Services)
	if subset.Whole() {
		return Begin(hello, newest)
	}
	newest.Digest = subset.Digest(newest.Sections)
	position := Begin(hello, newest)
	position.part = &part{subset: subset}
	if !position.whole {
		position.beginPart(hello, newest, history)
	}
	return position
}

// beginPart computes the part's digest at the router's revision back from the newest one. A router
// whose part differs from it gets a whole one.
func (p *Position) beginPart(hello message.RouterHello, newest Table, history *History) {
	changes, _, reached := history.After(hello.Revision)
	digest := p.part.before(changes, newest.Revision, newest.Digest)
	p.whole = !reached || digest != hello.Digest
	p.part.begin(hello.Revision, digest)
}

// Subset returns the part of the table that the router subscribes to.
func (p *Position) Subset() table.Subset {
	if p.part == nil {
		return table.Subset{}
	}
	return p.part.subset
}

// taken returns the revision from which the history leads on.
func (p *Position) taken() state.Revision {
	if p.part == nil {
		return p.sent
	}
	return p.part.taken
}

// Take looks at the next change, and returns the frame to send; false if none
// need be sent yet. A stream whose frame cannot be sent must end.
func (p *Position) Take(change *Change) (wire.Frame, bool, error) {
	if p.part == nil {
		p.SentChange(change)
		frame, err := change.Encoded()
		return frame, true, err
	}
	delta, due := p.part.take(p.sent, change)
	if !due {
		return wire.Frame{}, false, nil
	}
	p.sent = delta.To
	frame, err := wire.Encode(&message.ControllerFrame{Delta: &delta})
	return frame, true, err
}

// CatchUp returns the delta that tells the router of changes that did not touch
// its part; false if there are none. It must go before a pong, which proves
// nothing to a router whose revision is lower.
func (p *Position) CatchUp() (message.TableDelta, bool) {
	if p.taken() == p.sent {
		return message.TableDelta{}, false
	}
	delta := p.part.delta(p.sent, nil)
	p.sent = delta.To
	return delta, true
}

// SentTable notes that the router's part of a whole table was sent.
func (p *Position) SentTable(sent Table) {
	p.SentWhole(sent.Revision)
	if p.part != nil {
		p.part.begin(sent.Revision, p.part.subset.Digest(sent.Sections))
	}
}

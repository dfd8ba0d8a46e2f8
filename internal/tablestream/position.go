package tablestream

import (
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Table names the table that a leader holds.
type Table struct {
	Cluster  message.ClusterID
	Revision state.Revision
	Digest   uint64
	// Sections holds the digest of each section, for streams of a part.
	Sections state.SectionDigests
}

// Position is how far one router's stream has come. One goroutine uses it.
type Position struct {
	// whole is true while the router needs a whole table, whatever the history
	// holds.
	whole bool
	// held is the revision of the table that the router came with.
	held state.Revision
	// sent is the revision of the last frame.
	sent state.Revision
	// part is nil for a router that subscribes to the whole table.
	part *part
}

// Begin decides what the router holds already. A router starts anew that holds
// nothing, another cluster's table, one that is ahead of the leader's, or one
// whose digest differs at the same revision. Changes alone would not do even
// where the history begins at revision zero: only a snapshot names the cluster,
// and a router that holds a table refuses to go back.
func Begin(hello message.RouterHello, table Table) Position {
	var position Position
	if hello.Cluster == table.Cluster {
		position.held = hello.Revision
	}
	switch {
	case hello.Cluster != table.Cluster, hello.Revision == 0, hello.Revision > table.Revision, hello.Resync:
		position.whole = true
	case hello.Revision == table.Revision && hello.Digest != table.Digest:
		position.whole = true
	default:
		position.sent = hello.Revision
	}
	return position
}

// Sent returns the revision of the last frame, or of the table that the router
// came with and need not get again.
func (p *Position) Sent() state.Revision { return p.sent }

// AtLeast returns the lowest revision of a whole table that the router takes.
func (p *Position) AtLeast() state.Revision { return max(p.held, p.taken()) }

// Next returns the changes to send, in order, and a channel that is closed at
// the next change; or false if the router needs a whole table first.
func (p *Position) Next(history *History) ([]*Change, <-chan struct{}, bool) {
	changes, changed, reached := history.After(p.taken())
	if p.whole || !reached {
		return nil, changed, false
	}
	return changes, changed, true
}

// SentChange notes that a change was sent to a router of the whole table.
func (p *Position) SentChange(change *Change) { p.sent = change.Delta.To }

// SentWhole notes that a whole table was sent. It may be an older one, which
// changes follow.
func (p *Position) SentWhole(revision state.Revision) {
	p.sent = revision
	p.whole = false
}

// Parts divides a whole table into snapshots of at most size objects each, and
// of one object if size is below that.
func Parts(table Table, objects []state.Object, size int) []message.TableSnapshot {
	size = max(size, 1)
	var parts []message.TableSnapshot
	for start := 0; start == 0 || start < len(objects); start += size {
		end := min(start+size, len(objects))
		parts = append(parts, message.TableSnapshot{
			Cluster: table.Cluster, Revision: table.Revision, Digest: table.Digest,
			Objects: objects[start:end], First: start == 0, Last: end == len(objects),
		})
	}
	return parts
}

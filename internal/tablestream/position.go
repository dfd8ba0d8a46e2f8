package tablestream

import (
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Table identifies the routing table that the leader holds.
type Table struct {
	Cluster  message.ClusterID
	Revision state.Revision
	Digest   uint64
	// Sections holds the digest of each section, for routers with a subset.
	Sections state.SectionDigests
}

// Position tracks the progress of the stream to one router. It is not safe for
// concurrent use.
type Position struct {
	// needsSnapshot is true while the router needs a snapshot, whatever the history
	// holds.
	needsSnapshot bool
	// heldRevision is the revision of the table that the router reported when it
	// connected; 0 if that is another cluster's table.
	heldRevision state.Revision
	// sent is the revision after the last frame.
	sent state.Revision
	// filtered is nil for a router that subscribes to the whole table.
	filtered *filteredStream
}

// Begin returns the start of the stream to a router, given the table that the
// router reports. A router needs a snapshot if it holds nothing, another cluster's
// table, one ahead of the leader's or one whose digest differs at the same
// revision, or if it asks for one. Changes alone would not be enough even if the
// history begins at revision zero: only a snapshot names the cluster, and a router
// that holds a table refuses to go back to a lower revision.
func Begin(hello message.RouterHello, table Table) Position {
	var position Position
	if hello.Cluster == table.Cluster {
		position.heldRevision = hello.Revision
	}
	switch {
	case hello.Cluster != table.Cluster, hello.Revision == 0, hello.Revision > table.Revision, hello.Resync:
		position.needsSnapshot = true
	case hello.Revision == table.Revision && hello.Digest != table.Digest:
		position.needsSnapshot = true
	default:
		position.sent = hello.Revision
	}
	return position
}

// Sent returns the revision after the last frame, or that of the table that the
// router already holds and need not get again.
func (p *Position) Sent() state.Revision { return p.sent }

// MinSnapshotRevision returns the lowest revision of a snapshot that the router accepts.
func (p *Position) MinSnapshotRevision() state.Revision {
	return max(p.heldRevision, p.processedRevision())
}

// Next returns the changes to send, in order, and a channel that is closed at
// the next change; or false if the router needs a snapshot first.
func (p *Position) Next(history *History) ([]*Change, <-chan struct{}, bool) {
	changes, changed, reached := history.After(p.processedRevision())
	if p.needsSnapshot || !reached {
		return nil, changed, false
	}
	return changes, changed, true
}

// SentChange records that a change was sent to a router that subscribes to the
// whole table.
func (p *Position) SentChange(change *Change) { p.sent = change.Delta.To }

// SentSnapshot records that a snapshot was sent. It may be older than the leader's
// table; the changes since then follow.
func (p *Position) SentSnapshot(revision state.Revision) {
	p.sent = revision
	p.needsSnapshot = false
}

// Parts divides a table into snapshot parts of at most size objects each; a size
// below 1 counts as 1. An empty table is one part.
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

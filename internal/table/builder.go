package table

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Errors with which a Builder rejects a message. The table is left unchanged.
var (
	// ErrRevisionBack: the message would lead to a lower revision.
	ErrRevisionBack = eris.New("routing table revision would go back")
	// ErrClusterDiffers: the message comes from another controller cluster.
	ErrClusterDiffers = eris.New("routing table belongs to another cluster")
	// ErrGap: the delta does not start at the table's revision.
	ErrGap = eris.New("routing table delta does not follow the table")
	// ErrDigestMismatch: after the message the table differs from the
	// controller's, so an earlier message was missed.
	ErrDigestMismatch = eris.New("routing table digest mismatch")
	// ErrPartOrder: a snapshot part arrived out of order.
	ErrPartOrder = eris.New("routing table snapshot part out of order")
	// ErrEntryBounds: the shard's owner number or epoch does not fit into an
	// entry. Owner numbers run out when too many servers have owned shards since
	// the last snapshot; a new snapshot starts the numbering afresh.
	ErrEntryBounds = eris.New("routing table cannot hold the shard")
)

// NeedsSnapshot reports whether recovery from the error takes a complete snapshot.
func NeedsSnapshot(err error) bool {
	return eris.Is(err, ErrDigestMismatch) || eris.Is(err, ErrGap) || eris.Is(err, ErrPartOrder) || eris.Is(err, ErrEntryBounds)
}

// Builder applies snapshots and deltas and publishes each complete version.
// Only one goroutine may apply messages; any number may read.
type Builder struct {
	current atomic.Pointer[Table]
	pending *partialSnapshot

	mutex   sync.Mutex
	changed chan struct{}
}

// NewBuilder returns a builder that holds an empty table at revision zero.
func NewBuilder() *Builder {
	builder := &Builder{changed: make(chan struct{})}
	builder.current.Store(emptyTable())
	return builder
}

// Table returns the current version.
func (b *Builder) Table() *Table {
	return b.current.Load()
}

// Changed returns a channel that is closed at the next change. Call it before
// Table, or a change between the two calls is missed.
func (b *Builder) Changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

func (b *Builder) publish(next *Table) {
	b.current.Store(next)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// ApplySnapshot applies one part of a snapshot. It returns true when the part
// was the last one and the new table is published.
func (b *Builder) ApplySnapshot(part message.TableSnapshot) (bool, error) {
	if err := b.checkSnapshot(part); err != nil {
		b.pending = nil
		return false, err
	}
	if part.First {
		b.pending = newPartialSnapshot(part.Cluster, part.Revision, b.Table())
	}
	if b.pending == nil || b.pending.revision != part.Revision {
		b.pending = nil
		return false, eris.Wrapf(ErrPartOrder, "revision %d", part.Revision)
	}
	for _, object := range part.Objects {
		b.pending.editor.apply(object)
	}
	if !part.Last {
		return false, nil
	}
	next, err := b.pending.finish()
	b.pending = nil
	if err != nil {
		return false, err
	}
	if next.digest != part.Digest {
		return false, eris.Wrapf(ErrDigestMismatch, "snapshot at revision %d", part.Revision)
	}
	b.publish(next)
	return true, nil
}

func (b *Builder) checkSnapshot(part message.TableSnapshot) error {
	current := b.Table()
	if current.revision == 0 {
		return nil
	}
	if part.Cluster != current.cluster {
		return eris.Wrapf(ErrClusterDiffers, "have %q, got %q", current.cluster, part.Cluster)
	}
	if part.Revision < current.revision {
		return eris.Wrapf(ErrRevisionBack, "have %d, got snapshot at %d", current.revision, part.Revision)
	}
	return nil
}

// ApplyDelta applies one delta, which must start at the table's revision. It
// returns ErrRevisionBack for a delta that ends below that revision or its own
// start, and ErrGap for any other one that starts elsewhere.
func (b *Builder) ApplyDelta(delta message.TableDelta) error {
	current := b.Table()
	if delta.To < delta.From || delta.To < current.revision {
		return eris.Wrapf(ErrRevisionBack, "have %d, got delta %d to %d", current.revision, delta.From, delta.To)
	}
	if delta.From != current.revision {
		return eris.Wrapf(ErrGap, "have %d, got delta from %d", current.revision, delta.From)
	}
	next, err := applyObjects(current, delta.Objects)
	if err != nil {
		return err
	}
	next.revision = delta.To
	if next.digest != delta.Digest {
		return eris.Wrapf(ErrDigestMismatch, "delta %d to %d", delta.From, delta.To)
	}
	b.publish(next)
	return nil
}

// partialSnapshot collects the parts of a snapshot in compact form. It reuses
// the chunks of the current table whose shards are equal, so that a snapshot
// that replaces a table takes little additional memory.
type partialSnapshot struct {
	cluster  message.ClusterID
	revision state.Revision
	editor   *editor
}

func newPartialSnapshot(cluster message.ClusterID, revision state.Revision, previous *Table) *partialSnapshot {
	empty := emptyTable()
	editor := newEditor(empty)
	if !previous.names.halfUsed() {
		editor.next.names = previous.names
		editor.previous = previous
	}
	return &partialSnapshot{cluster: cluster, revision: revision, editor: editor}
}

func (p *partialSnapshot) finish() (*Table, error) {
	next, err := p.editor.finish()
	if err != nil {
		return nil, err
	}
	next.cluster = p.cluster
	next.revision = p.revision
	return next, nil
}

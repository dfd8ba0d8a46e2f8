package table

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Reasons for which a Builder refuses a message. The table stays as it was.
var (
	// ErrRevisionBack: the message would lead to a lower revision.
	ErrRevisionBack = eris.New("routing table revision would go back")
	// ErrClusterDiffers: the message is of another group of controllers.
	ErrClusterDiffers = eris.New("routing table belongs to another cluster")
	// ErrGap: the delta does not start at the table's revision.
	ErrGap = eris.New("routing table delta does not follow the table")
	// ErrDigestMismatch: the table differs from the controller's after the
	// message, so that an earlier one was missed.
	ErrDigestMismatch = eris.New("routing table digest mismatch")
	// ErrPartOrder: the part of a snapshot came out of order.
	ErrPartOrder = eris.New("routing table snapshot part out of order")
	// ErrEntryBounds: a shard does not fit the table, because too many servers
	// have owned shards since the last whole table; a whole table has room again.
	ErrEntryBounds = eris.New("routing table cannot hold the shard")
)

// NeedsWhole reports whether only a whole table helps after an error.
func NeedsWhole(err error) bool {
	return eris.Is(err, ErrDigestMismatch) || eris.Is(err, ErrGap) || eris.Is(err, ErrPartOrder) || eris.Is(err, ErrEntryBounds)
}

// Builder applies snapshots and deltas and publishes each complete version.
// One goroutine applies; any number may read.
type Builder struct {
	current atomic.Pointer[Table]
	pending *draft

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

// Changed returns a channel that is closed at the next change. Take it before
// Table, so that no change is missed in between.
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

// ApplySnapshot takes one part of a snapshot. It reports true when the part
// was the last one and the new table is in force.
func (b *Builder) ApplySnapshot(part message.TableSnapshot) (bool, error) {
	if err := b.checkSnapshot(part); err != nil {
		b.pending = nil
		return false, err
	}
	if part.First {
		b.pending = newDraft(part.Cluster, part.Revision, b.Table())
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

// ApplyDelta takes one delta. A delta that the table already covers is ignored.
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

// draft gathers the parts of a snapshot in compact form. It takes the shards of
// the present table over in chunks where they are equal, so that a whole table
// that replaces another one takes little memory beside it.
type draft struct {
	cluster  message.ClusterID
	revision state.Revision
	editor   *editor
}

func newDraft(cluster message.ClusterID, revision state.Revision, present *Table) *draft {
	empty := emptyTable()
	editor := newEditor(empty)
	if !present.names.halfUsed() {
		editor.next.names = present.names
		editor.former = present
	}
	return &draft{cluster: cluster, revision: revision, editor: editor}
}

func (d *draft) finish() (*Table, error) {
	next, err := d.editor.finish()
	if err != nil {
		return nil, err
	}
	next.cluster = d.cluster
	next.revision = d.revision
	return next, nil
}

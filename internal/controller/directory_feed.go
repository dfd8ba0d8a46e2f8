package controller

import (
	"context"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// The feed collects changes of the directory and encodes them once for all gateways of this controller; the
// number of gateways times the number of frames determines the cost of the directory. The collection delay
// grows with the number of streams, so that a controller sends a bounded number of frames per second. Changes
// that take no key from its holder and require no instance to stop wait longer: with thousands of instances,
// some register at any time.
const (
	minGatherDelay       = 5 * time.Millisecond
	maxGatherDelay       = 250 * time.Millisecond
	gatherDelayPerStream = time.Millisecond
	// nonUrgentDelayFactor is how many times longer non-urgent changes wait.
	nonUrgentDelayFactor = 3
	// maxKeptFrames bounds the frames that are kept for streams that lag behind.
	maxKeptFrames = 32
)

// gatherDelay returns how long the feed waits for further changes, by the number of open streams at this
// controller.
func gatherDelay(streams int) time.Duration {
	return min(max(minGatherDelay, time.Duration(streams)*gatherDelayPerStream), maxGatherDelay)
}

// directoryChanges are encoded changes of the directory between two revisions.
type directoryChanges struct {
	from, to directory.Revision
	frame    wire.Frame
}

// directoryFeed keeps the newest frames, each of which starts where the previous one ends, and the latest
// changes that were encoded for streams at other revisions. It is safe for concurrent use.
type directoryFeed struct {
	mutex  sync.Mutex
	frames []*directoryChanges
	// start is the revision at which the first frame begins.
	start   directory.Revision
	catchUp *directoryChanges
	// frameAdded is raised when a frame is added.
	frameAdded *broadcast.Broadcast
	// urgent is raised at a change that must not wait as long as non-urgent ones.
	urgent *broadcast.Broadcast
}

func newDirectoryFeed() directoryFeed {
	return directoryFeed{frameAdded: broadcast.New(), urgent: broadcast.New()}
}

// isUrgent reports whether gateways must learn of a command soon: of keys that change owners, of instances
// that leave, of zones, of the configuration, and of requests that crash instances.
func isUrgent(command directory.Command) bool {
	for _, each := range command.Batch {
		if isUrgent(each) {
			return true
		}
	}
	for _, instance := range command.Instances {
		if instance.State != directory.InstanceReady {
			return true
		}
	}
	return command.Layout != nil || command.Patch != nil || command.Zone != nil || command.Suspects != nil || command.Release != nil
}

// runFeed encodes new changes of the directory until the context ends.
func (r *replica) runFeed(ctx context.Context) {
	for ctx.Err() == nil {
		changed, urgent := r.directoryChanged.Next(), r.feed.urgent.Next()
		if !r.feedLags() {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
		r.gather(ctx, urgent)
		if err := r.encodeNextFrame(); err != nil {
			telemetry.WithError(r.log, telemetry.EventFailed, err).Error("cannot encode directory changes; retrying")
			clock.Sleep(ctx, maxGatherDelay)
		}
	}
}

// gather waits for further changes: for the gather delay, or a multiple of it if none of the changes is
// urgent.
func (r *replica) gather(ctx context.Context, urgent <-chan struct{}) {
	delay := gatherDelay(int(r.directoryStreams.Load()))
	nonUrgentTimer := time.NewTimer((nonUrgentDelayFactor - 1) * delay)
	defer nonUrgentTimer.Stop()
	select {
	case <-urgent:
	case <-nonUrgentTimer.C:
	case <-ctx.Done():
	}
	clock.Sleep(ctx, delay)
}

func (r *replica) directoryRevision() (revision directory.Revision) {
	r.view(func(view *state.State) { revision = view.Directory().Revision() })
	return revision
}

// feedLags reports whether the newest frame is behind the directory.
func (r *replica) feedLags() bool {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	return r.feed.lastRevision() < r.directoryRevision()
}

// lastRevision returns the revision at which the newest frame ends, or start if there are no frames. The mutex
// must be held.
func (f *directoryFeed) lastRevision() directory.Revision {
	if len(f.frames) == 0 {
		return f.start
	}
	return f.frames[len(f.frames)-1].to
}

// encodeNextFrame encodes the changes since the newest frame.
func (r *replica) encodeNextFrame() error {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	if r.feed.lastRevision() == 0 {
		r.feed.start = r.directoryRevision()
		r.feed.frameAdded.Raise()
		return nil
	}
	changes, err := r.encodeAfter(r.feed.lastRevision())
	if err != nil || changes == nil {
		return err
	}
	r.feed.frames = append(r.feed.frames, changes)
	if excess := len(r.feed.frames) - maxKeptFrames; excess > 0 {
		r.feed.frames = append([]*directoryChanges(nil), r.feed.frames[excess:]...)
	}
	r.load.frame()
	r.feed.frameAdded.Raise()
	return nil
}

// framesAfter returns what a stream at a revision lacks: frames of the feed, preceded if necessary by changes
// encoded for that revision.
func (r *replica) framesAfter(sent directory.Revision) ([]*directoryChanges, error) {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	if sent >= r.feed.lastRevision() && sent > 0 {
		return nil, nil
	}
	if following := r.feed.following(sent); following != nil {
		return following, nil
	}
	changes, err := r.changesAfterLocked(sent)
	if err != nil || changes == nil {
		return nil, err
	}
	return append([]*directoryChanges{changes}, r.feed.following(changes.to)...), nil
}

// following returns the frames that continue from a revision, or nil if the revision is older than all frames.
// The first frame may begin earlier: changes that a gateway already has do no harm. The mutex must be held.
func (f *directoryFeed) following(sent directory.Revision) []*directoryChanges {
	if sent == 0 {
		return nil // an empty gateway also needs the cluster identifier
	}
	for index, frame := range f.frames {
		if frame.to > sent {
			if frame.from > sent {
				return nil
			}
			return f.frames[index:]
		}
	}
	return nil
}

// changesAfter returns the changes after a revision, or nil if there are none.
func (r *replica) changesAfter(sent directory.Revision) (*directoryChanges, error) {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	return r.changesAfterLocked(sent)
}

// changesAfterLocked is changesAfter with the feed's mutex held. A full directory is encoded again only once
// the frames no longer continue from it: hundreds of gateways ask for it at the same time after a power
// failure.
func (r *replica) changesAfterLocked(sent directory.Revision) (*directoryChanges, error) {
	known := r.feed.catchUp
	if known != nil && known.from == sent && (known.to == r.directoryRevision() || r.feed.following(known.to) != nil) {
		return known, nil
	}
	changes, err := r.encodeAfter(sent)
	if err == nil && changes != nil {
		r.feed.catchUp = changes
	}
	return changes, err
}

// encodeAfter encodes the changes after a revision, or returns nil if there are none.
func (r *replica) encodeAfter(sent directory.Revision) (*directoryChanges, error) {
	var content directory.RoutingChanges
	r.view(func(view *state.State) {
		if view.Directory().Revision() > sent {
			content = view.Directory().RoutingSince(sent)
		}
	})
	if content.To <= sent {
		return nil, nil
	}
	update := &message.DirectoryUpdate{Changes: &content}
	if sent == 0 {
		update.Cluster = r.cluster
	}
	frame, err := wire.Encode(update)
	if err != nil {
		return nil, err
	}
	return &directoryChanges{from: sent, to: content.To, frame: frame}, nil
}

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

// The feed gathers changes of the directory and encodes them once for all gateways of this
// controller, whose number times its frames is what the directory costs. The time for which it
// gathers grows with the streams, so that a controller sends a bounded number of frames a
// second. Changes by which nobody loses a holder or has to stop wait longer: with thousands of
// instances some register at any time.
const (
	shortestGather = 5 * time.Millisecond
	longestGather  = 250 * time.Millisecond
	gatherOfStream = time.Millisecond
	// calmGathers is how many times longer changes wait that are not urgent.
	calmGathers = 3
	// framesKept bounds the frames for streams that lag behind.
	framesKept = 32
)

// gatherTime returns how long the feed waits after a change, by the streams open at this
// controller.
func gatherTime(streams int) time.Duration {
	return min(max(shortestGather, time.Duration(streams)*gatherOfStream), longestGather)
}

// directoryChanges are changes of the directory as they are sent to gateways.
type directoryChanges struct {
	from, to directory.Revision
	frame    wire.Frame
}

// directoryFeed keeps the newest frames, each of which follows the one before, and the newest
// changes that were encoded for streams that stand elsewhere. It is safe for concurrent use.
type directoryFeed struct {
	mutex  sync.Mutex
	frames []*directoryChanges
	// begun is the revision that the first frame follows.
	begun  directory.Revision
	newest *directoryChanges
	// advanced tells the streams of a new frame.
	advanced *broadcast.Broadcast
	// urgent tells of a change that must not wait with the calm ones.
	urgent *broadcast.Broadcast
}

func newDirectoryFeed() directoryFeed {
	return directoryFeed{advanced: broadcast.New(), urgent: broadcast.New()}
}

// isUrgent reports whether gateways must hear of a command soon: of keys that change hands, of
// instances that leave, of zones, of the configuration, and of requests that crash instances.
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

// runFeed makes a frame of what has changed, again and again, until the context ends.
func (r *replica) runFeed(ctx context.Context) {
	for ctx.Err() == nil {
		changed, urgent := r.directoryChanged.Next(), r.feed.urgent.Next()
		if !r.lagsBehind() {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
		r.gather(ctx, urgent)
		if err := r.cutFrame(); err != nil {
			telemetry.WithError(r.log, telemetry.EventFailed, err).Error("changes of the directory not encoded: gateways wait for the next ones")
			clock.Sleep(ctx, longestGather)
		}
	}
}

// gather waits for further changes.
func (r *replica) gather(ctx context.Context, urgent <-chan struct{}) {
	gather := gatherTime(int(r.directoryStreams.Load()))
	calm := time.NewTimer((calmGathers - 1) * gather)
	defer calm.Stop()
	select {
	case <-urgent:
	case <-calm.C:
	case <-ctx.Done():
	}
	clock.Sleep(ctx, gather)
}

func (r *replica) directoryRevision() (revision directory.Revision) {
	r.view(func(view *state.State) { revision = view.Directory().Revision() })
	return revision
}

// lagsBehind reports whether the newest frame is not up to date.
func (r *replica) lagsBehind() bool {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	return r.feed.end() < r.directoryRevision()
}

// end is the revision of the newest frame; where there is none, that which the first one
// follows. The mutex must be held.
func (f *directoryFeed) end() directory.Revision {
	if len(f.frames) == 0 {
		return f.begun
	}
	return f.frames[len(f.frames)-1].to
}

// cutFrame encodes what has changed since the newest frame.
func (r *replica) cutFrame() error {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	if r.feed.end() == 0 {
		r.feed.begun = r.directoryRevision()
		r.feed.advanced.Raise()
		return nil
	}
	changes, err := r.encodeAfter(r.feed.end())
	if err != nil || changes == nil {
		return err
	}
	r.feed.frames = append(r.feed.frames, changes)
	if excess := len(r.feed.frames) - framesKept; excess > 0 {
		r.feed.frames = append([]*directoryChanges(nil), r.feed.frames[excess:]...)
	}
	r.load.frame()
	r.feed.advanced.Raise()
	return nil
}

// framesAfter returns what a stream lacks that stands at a revision: frames of the feed, or
// what was encoded for it alone.
func (r *replica) framesAfter(sent directory.Revision) ([]*directoryChanges, error) {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	if sent >= r.feed.end() && sent > 0 {
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

// following returns the frames that lead on from a revision; nil if it lies before them. The
// first may begin earlier: what a gateway has already changes nothing. The mutex must be held.
func (f *directoryFeed) following(sent directory.Revision) []*directoryChanges {
	if sent == 0 {
		return nil // a gateway that has nothing is told the cluster as well
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

// changesAfter returns the changes after a revision; nil if there are none.
func (r *replica) changesAfter(sent directory.Revision) (*directoryChanges, error) {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	return r.changesAfterLocked(sent)
}

// changesAfterLocked is changesAfter with the feed's mutex held. A whole directory is encoded
// again only once the frames do not lead on from it any more: hundreds of gateways ask for it at
// the same time after a loss of power.
func (r *replica) changesAfterLocked(sent directory.Revision) (*directoryChanges, error) {
	known := r.feed.newest
	if known != nil && known.from == sent && (known.to == r.directoryRevision() || r.feed.following(known.to) != nil) {
		return known, nil
	}
	changes, err := r.encodeAfter(sent)
	if err == nil && changes != nil {
		r.feed.newest = changes
	}
	return changes, err
}

// encodeAfter encodes what has changed since a revision; nil if nothing has.
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

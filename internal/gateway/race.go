package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// While a gateway has no directory stream, it connects to several controllers, each a short time after the
// previous one. After a power failure machines come back one by one, and a machine that is still down does not
// answer: waiting for it to time out costs the callers more than a second connection does. Once a controller
// has accepted a connection, no further one is asked for a while: a whole directory takes long on a narrow
// link and should not be sent twice.

const (
	// raceStagger is the delay before the next controller is asked as well, about ten times the time to
	// connect within a region.
	raceStagger = 50 * time.Millisecond
	// firstBytesTimeout is how long a controller that accepted the connection may take to send the beginning
	// of the directory before the next controller is asked as well. transferTimeout is the same bound for the
	// whole directory: that of several hundred instances takes half of it at 2 Mbit/s.
	firstBytesTimeout = 100 * time.Millisecond
	transferTimeout   = 800 * time.Millisecond
	// directoryBegunBytes is the number of received bytes from which on the transfer of the directory has
	// begun; the list of controllers, which is always sent, is shorter.
	directoryBegunBytes = 1500
	// raceRounds is how often each controller is asked before the settings are reloaded.
	raceRounds = 3
)

// race is one search for a controller that confirms the directory.
type race struct {
	mutex      sync.Mutex
	candidates map[*candidate]struct{}
	winner     *candidate
	// abandoned is true once the search ended without a winner.
	abandoned bool
}

// candidate is a controller that is being asked over one connection.
type candidate struct {
	address string
	// cancel ends its stream.
	cancel  context.CancelFunc
	askedAt time.Time
	// connection is the accepted connection, since connectedAt; nil before.
	connection  *wire.Conn
	connectedAt time.Time
}

func newRace() *race { return &race{candidates: make(map[*candidate]struct{})} }

var errOtherController = eris.New("another controller answered first")

// claim makes the first candidate that calls it the winner and ends the streams of the others. It reports
// whether the calling candidate is the winner.
func (r *race) claim(claiming *candidate) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.winner == nil {
		r.winner = claiming
		for other := range r.candidates {
			if other != claiming {
				other.cancel()
			}
		}
	}
	return r.winner == claiming
}

// redialAfter is how long a controller may take to accept a connection before a second attempt is made beside
// the first. The SYN to a machine that is not powered on yet is lost and retransmitted only after a second.
// Connecting within a region takes a few milliseconds; a slower attempt is left to end by itself.
const redialAfter = 100 * time.Millisecond

// enter adds a candidate. It returns nil for a controller that is already being asked, and once the search has
// ended.
func (r *race) enter(address string, cancel context.CancelFunc) *candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.winner != nil || r.abandoned {
		return nil
	}
	for other := range r.candidates {
		if other.address == address && (other.connection != nil || time.Since(other.askedAt) < redialAfter) {
			return nil
		}
	}
	entered := &candidate{address: address, cancel: cancel, askedAt: time.Now()}
	r.candidates[entered] = struct{}{}
	return entered
}

// abandon ends the search and all of its streams.
func (r *race) abandon() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.abandoned = true
	for each := range r.candidates {
		each.cancel()
	}
}

func (r *race) leave(leaving *candidate) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.candidates, leaving)
}

// connected records that a candidate accepted the connection. It returns false if another connection to the
// same controller was accepted before.
func (r *race) connected(accepted *candidate, connection *wire.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for other := range r.candidates {
		if other != accepted && other.address == accepted.address && other.connection != nil {
			return false
		}
	}
	accepted.connection = connection
	accepted.connectedAt = time.Now()
	return true
}

// mayAskNext reports whether the next candidate is to be asked: no candidate has accepted a connection, or
// those that have are taking too long.
func (r *race) mayAskNext() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for each := range r.candidates {
		if each.connection != nil && time.Since(each.connectedAt) < each.timeout() {
			return false
		}
	}
	return r.winner == nil && !r.abandoned
}

// bytesReceived returns the number of bytes that the candidate's stream brought.
func (c *candidate) bytesReceived() uint64 {
	if c.connection == nil {
		return 0
	}
	return c.connection.BytesReceived()
}

// timeout returns how long a candidate that accepted the connection may take before the next one is asked.
func (c *candidate) timeout() time.Duration {
	if c.connection.BytesReceived() >= directoryBegunBytes {
		return transferTimeout
	}
	return firstBytesTimeout
}

// finished reports whether the search has ended, with or without a winner.
func (r *race) finished() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.winner != nil || r.abandoned
}

// followFirst asks the candidates in turn, and follows the stream of the first that confirms the directory
// until it breaks.
func (s *subscription) followFirst(ctx context.Context, candidates []string) {
	search := newRace()
	var group conc.WaitGroup
	defer group.Wait()
	for range raceRounds {
		for _, address := range candidates {
			s.ask(ctx, search, address, &group)
			for clock.Sleep(ctx, raceStagger); !search.mayAskNext(); clock.Sleep(ctx, raceStagger) {
				if ctx.Err() != nil || search.finished() {
					return
				}
			}
		}
	}
}

// ask follows one candidate in the background, unless it is already being asked.
func (s *subscription) ask(ctx context.Context, search *race, address string, group *conc.WaitGroup) {
	ctx, cancel := context.WithCancel(ctx)
	asked := search.enter(address, cancel)
	if asked == nil {
		cancel()
		return
	}
	group.Go(func() {
		defer cancel()
		defer search.leave(asked)
		err := s.follow(ctx, source{address: address, search: search, candidate: asked})
		if ctx.Err() != nil {
			return
		}
		line := telemetry.WithError(s.log, telemetry.EventControllerLost, err).WithField(telemetry.FieldAddress, address).
			WithField(fieldTableAge, s.age().Milliseconds()).WithField("bytes", asked.bytesReceived())
		if errors.Is(err, errSwitchToHome) {
			search.abandon()
			line.Info("switching the directory stream to the home controller")
			return
		}
		line.Warn("directory stream broke")
	})
}

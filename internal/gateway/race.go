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

// While a gateway has no stream of the directory it asks several controllers at a time.
// After a loss of power machines come back one by one, and one that is still down says
// nothing: waiting for it to time out before the next is asked costs the callers more
// than a second connection does. Once a controller has accepted the connection the others
// wait: a whole directory is long for a narrow link, and is not sent twice.

const (
	// raceStagger is the time after which the next controller is asked as well, some
	// ten times what a connection within a region takes.
	raceStagger = 50 * time.Millisecond
	// connectedPatience is how long a controller that accepted the connection may take to
	// send the beginning of the directory before the next is asked as well, and
	// transferPatience how long until it is whole: that of some hundred instances takes
	// half of it on 2 Mbit/s.
	connectedPatience = 100 * time.Millisecond
	transferPatience  = 800 * time.Millisecond
	// directoryBegun is what a controller has sent once the directory is on its way; the
	// names of the controllers, which it sends in any case, are shorter.
	directoryBegun = 1500
	// raceRounds is how often each controller is asked before the settings are read
	// again.
	raceRounds = 3
)

// race is one search for a controller that confirms the directory.
type race struct {
	mutex      sync.Mutex
	candidates map[*candidate]struct{}
	winner     *candidate
	// abandoned is true once the search was given up without a winner.
	abandoned bool
}

// candidate is one controller that is being asked, over one connection.
type candidate struct {
	address string
	// cancel ends its stream.
	cancel  context.CancelFunc
	askedAt time.Time
	// connection is the one that it accepted, at connectedAt; nil before.
	connection  *wire.Conn
	connectedAt time.Time
}

func newRace() *race { return &race{candidates: make(map[*candidate]struct{})} }

var errOtherController = eris.New("another controller answered first")

// claim makes the first caller the winner, and ends the streams of the others. It
// reports whether the caller has won.
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

// redialAfter is how long a controller may take to accept a connection before it is
// dialed once more beside the first attempt. The opening packet to a machine that has no
// power yet is lost, and is sent again after a second only. A dial within a region takes
// a few milliseconds; a longer one is left to end by itself.
const redialAfter = 100 * time.Millisecond

// enter adds a candidate. It returns nil for a controller that is being asked already,
// and once there is a winner.
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

// connected notes that a candidate accepted the connection. It reports false if another
// connection to the same controller was accepted before.
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

// mayAskNext reports whether the next candidate is to be asked: nobody has accepted a
// connection, or those who have take too long since.
func (r *race) mayAskNext() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for each := range r.candidates {
		if each.connection != nil && time.Since(each.connectedAt) < each.patience() {
			return false
		}
	}
	return r.winner == nil && !r.abandoned
}

// patience is how long a candidate that accepted the connection may take before the next
// one is asked.
func (c *candidate) patience() time.Duration {
	if c.connection.BytesReceived() >= directoryBegun {
		return transferPatience
	}
	return connectedPatience
}

// over reports whether there is a winner, or will be none.
func (r *race) over() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.winner != nil || r.abandoned
}

// followFirst asks the candidates in turn, and takes the stream of the first that
// confirms the directory until it breaks.
func (s *subscription) followFirst(ctx context.Context, candidates []string) {
	contest := newRace()
	var group conc.WaitGroup
	defer group.Wait()
	for range raceRounds {
		for _, address := range candidates {
			s.ask(ctx, contest, address, &group)
			for clock.Sleep(ctx, raceStagger); !contest.mayAskNext(); clock.Sleep(ctx, raceStagger) {
				if ctx.Err() != nil || contest.over() {
					return
				}
			}
		}
	}
}

// ask follows one candidate in the background, unless it is being asked already.
func (s *subscription) ask(ctx context.Context, contest *race, address string, group *conc.WaitGroup) {
	ctx, cancel := context.WithCancel(ctx)
	asked := contest.enter(address, cancel)
	if asked == nil {
		cancel()
		return
	}
	group.Go(func() {
		defer cancel()
		defer contest.leave(asked)
		err := s.follow(ctx, source{address: address, contest: contest, candidate: asked})
		if ctx.Err() != nil {
			return
		}
		line := telemetry.WithError(s.log, telemetry.EventControllerLost, err).WithField(telemetry.FieldAddress, address).
			WithField("table_age_ms", s.age().Milliseconds())
		if errors.Is(err, errGoesHome) {
			contest.abandon()
			line.Info("directory stream left for that of another controller")
			return
		}
		line.Warn("directory stream broke")
	})
}

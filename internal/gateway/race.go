package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// While no directory stream brings proofs, the gateway connects to several controllers, each a short time after
// the previous one. After a power failure machines come back one by one, and a machine that is still down does
// not answer: waiting for it to time out costs the callers more than a second connection does. Once a controller
// has accepted a connection, no further one is asked for a while: a whole directory takes long on a narrow
// link and should not be sent twice.
//
// A stream that has become silent is kept until another one confirms the directory: where round trips take
// longer than any timeout, each stream that is given up for a new one loses the answers that are on their way.

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
	// patience is how long a patient candidate may be silent, which bounds the round trips over which a gateway
	// follows the directory.
	patience = wire.PatientSilenceTimeout
)

// race finds a controller that confirms the directory, and finds another one when that falls silent.
type race struct {
	// silenceLimit is how long an accepted connection may be silent before another one is tried beside it.
	silenceLimit time.Duration

	mutex      sync.Mutex
	candidates map[*candidate]struct{}
	// winner is the candidate that the gateway follows; nil for none. It can win once more against those that
	// are asked after it fell silent.
	winner *candidate
	// searching is true while the first candidate that confirms the directory wins.
	searching bool
	// switchTo is the only controller to ask, and the only one to win against the winner, since switchBegan; empty
	// for none.
	switchTo    string
	switchBegan time.Time
	// restarts counts the searches that were begun anew.
	restarts int
	// searchBegan is raised when a search begins before the winner is silent.
	searchBegan *broadcast.Broadcast
}

// candidate is a controller that is being asked over one connection.
type candidate struct {
	address string
	// patient is true for one connection to each controller, which waits for slow answers. Others are replaced
	// soon, since those to a machine that was down are dead.
	patient bool
	// cancel ends its stream, and ended is closed once that has ended.
	cancel  context.CancelFunc
	ended   chan struct{}
	askedAt time.Time
	// connection is the accepted connection, since connectedAt; nil before. Bytes last arrived at heardAt, and
	// proof at provedAt.
	connection  *wire.Conn
	connectedAt time.Time
	heardAt     time.Time
	provedAt    time.Time
}

func newRace(silenceLimit time.Duration) *race {
	return &race{silenceLimit: silenceLimit, candidates: make(map[*candidate]struct{}), searching: true, searchBegan: broadcast.New()}
}

var errOtherController = eris.New("another controller answered first")

// claim is called with each proof of a candidate. While searching, it makes the candidate the winner and ends the
// streams of the others. It reports whether the candidate is the winner.
func (r *race) claim(claiming *candidate) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, entered := r.candidates[claiming]; !entered {
		return false
	}
	r.endSwitch()
	if r.searching && (r.switchTo == "" || claiming != r.winner) {
		r.winner, r.searching, r.switchTo = claiming, false, ""
		r.cancelOthers()
	}
	claiming.provedAt = time.Now()
	return r.winner == claiming
}

// cancelOthers ends the streams of all candidates but the winner. The mutex must be held.
func (r *race) cancelOthers() {
	for other := range r.candidates {
		if other != r.winner {
			other.cancel()
		}
	}
}

// beginSwitch asks another controller, which takes the place of the winner once it confirms the directory.
func (r *race) beginSwitch(to string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.searching {
		return
	}
	r.searching, r.switchTo, r.switchBegan = true, to, time.Now()
	r.searchBegan.Raise()
}

// endSwitch gives a switch up if the winner is lost, so that all controllers are asked, or if the other controller
// takes too long. The mutex must be held.
func (r *race) endSwitch() {
	if r.switchTo == "" {
		return
	}
	lost := r.winner == nil || r.overdue(r.winner)
	if lost || time.Since(r.switchBegan) >= patience {
		r.switchTo, r.searching = "", lost
		if !lost {
			r.cancelOthers()
		}
	}
}

// awaits reports whether any candidate but the patient ones and the winner is being asked.
func (r *race) awaits() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for each := range r.candidates {
		if !each.patient && each != r.winner {
			return r.searching
		}
	}
	return false
}

// redialAfter is how long a controller may take to accept a connection before a second attempt is made beside
// the first. The SYN to a machine that is not powered on yet is lost and retransmitted only after a second.
// Connecting within a region takes a few milliseconds; a slower attempt is left to end by itself.
const redialAfter = 100 * time.Millisecond

// enter adds a candidate. It returns nil for a controller that is already being asked, and after the search.
func (r *race) enter(address string, cancel context.CancelFunc) *candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.endSwitch()
	if !r.searching || r.switchTo != "" && r.switchTo != address {
		return nil
	}
	patient := true
	for other := range r.candidates {
		if other.address != address {
			continue
		}
		if !r.overdue(other) {
			return nil
		}
		patient = patient && !other.patient
	}
	entered := &candidate{address: address, patient: patient, cancel: cancel, ended: make(chan struct{}), askedAt: time.Now()}
	r.candidates[entered] = struct{}{}
	return entered
}

// overdue reports whether a candidate has not connected in time, or is silent. The mutex must be held.
func (r *race) overdue(asked *candidate) bool {
	if asked.connection == nil {
		return time.Since(asked.askedAt) >= redialAfter
	}
	return time.Since(asked.heardAt) >= r.silenceLimit
}

// restart ends all streams, so that the controllers are asked anew from the first one on.
func (r *race) restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for each := range r.candidates {
		each.cancel()
	}
	clear(r.candidates)
	r.winner, r.searching, r.switchTo = nil, true, ""
	r.restarts++
}

func (r *race) leave(leaving *candidate) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.candidates, leaving)
	if r.winner == leaving {
		r.winner, r.searching = nil, true
	}
	close(leaving.ended)
}

// connected records that a candidate accepted the connection. It returns false if another connection to the
// same controller was accepted before and is not silent.
func (r *race) connected(accepted *candidate, connection *wire.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for other := range r.candidates {
		if other != accepted && other.address == accepted.address && other.connection != nil && !r.overdue(other) {
			return false
		}
	}
	accepted.connection = connection
	accepted.connectedAt = time.Now()
	accepted.heardAt = accepted.connectedAt
	return true
}

// heard records that bytes arrived from a candidate.
func (r *race) heard(from *candidate) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	from.heardAt = time.Now()
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
	return r.searching
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

// state returns whether a winner is searched, and how often the search was begun anew.
func (r *race) state() (searching bool, restarts int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.endSwitch()
	return r.searching, r.restarts
}

// searchIfSilent begins a search beside the winner if no bytes have arrived from it for the silence limit. Otherwise
// it returns when that will be, and a channel that is closed once the winner's stream has ended.
func (r *race) searchIfSilent() (in time.Duration, ended <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.searching {
		return 0, nil
	}
	in = r.silenceLimit - time.Since(r.winner.heardAt)
	if in <= 0 {
		r.searching = true
	}
	return in, r.winner.ended
}

// searchWithoutProof begins a search beside a winner that sent an update, but no proof for the limit: most likely it
// is cut off from the other controllers.
func (r *race) searchWithoutProof(from *candidate, limit time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.winner != from || time.Since(from.provedAt) <= limit || r.searching && r.switchTo == "" {
		return
	}
	r.searching, r.switchTo = true, ""
	r.searchBegan.Raise()
}

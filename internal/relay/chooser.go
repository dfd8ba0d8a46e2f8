package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// firstPause is how long a gateway that could not relay is not asked; it doubles with each further failure
	// in a row, up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// Of exploreInterval requests one may go to a relay that has not been proved to work, once enoughProved have
	// been.
	exploreInterval = 16
	enoughProved    = 3
	// MaxTries is the maximum number of gateways that are asked to relay one request, and within reportTime to
	// relay any request to an instance that none of them reached.
	MaxTries = 6
	// maxSingleTries replaces MaxTries for an instance that this gateway cannot reach while it reaches others:
	// most likely the instance is dead, and its requests are better rejected soon.
	maxSingleTries = 3
	// isolatedAfter is the number of relays to which connections must fail, without an answer of any relay, for
	// this gateway to count as cut off from the relays too. isolationPause is how long it then relays nothing.
	isolatedAfter  = 3
	isolationPause = 400 * time.Millisecond
	// silentAfter is the number of deadlines that must pass in a row, without an answer of a relay between them,
	// for the relay to count as unusable: one may be the fault of an instance.
	silentAfter = 3
	// reportTime is how long a gateway that could not reach an instance is not asked for it.
	reportTime = time.Second
	// crossZoneLoad is the number of requests in flight that outweighs another zone.
	crossZoneLoad = 8
)

// Chooser chooses the gateways that relay requests. It is safe for concurrent use.
type Chooser struct {
	// own is the peer address of this gateway, and zone its zone.
	own, zone string
	mutex     sync.Mutex
	relays    []directory.Relay
	states    map[string]*state
	// chosen counts the chosen relays.
	chosen uint64
	// unreached counts the failed connections to relays since the last answer of any, and isolatedUntil is when
	// relays are asked again after too many.
	unreached     int
	isolatedUntil time.Duration
	// reports has, for each instance, the gateways that could not reach it, and until when that counts.
	reports map[directory.InstanceID]map[string]time.Duration
}

// state is what is known of one gateway as a relay.
type state struct {
	inFlight    int
	pausedUntil time.Duration
	pause       time.Duration
	// proved is true if the relay sent the last request that it was asked to send.
	proved bool
	// unanswered counts the deadlines that passed since the last answer.
	unanswered int
}

// NewChooser returns a chooser for the gateway with a peer address and a zone.
func NewChooser(own, zone string) *Chooser {
	return &Chooser{own: own, zone: zone, states: make(map[string]*state), reports: make(map[directory.InstanceID]map[string]time.Duration)}
}

// SetRelays sets the gateways that relay requests.
func (c *Chooser) SetRelays(relays []directory.Relay) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.relays = slices.DeleteFunc(slices.Clone(relays), func(each directory.Relay) bool { return each.Address == c.own })
	for address, known := range c.states {
		if known.inFlight == 0 && !slices.ContainsFunc(c.relays, func(each directory.Relay) bool { return each.Address == address }) {
			delete(c.states, address)
		}
	}
}

// Request describes a request that is to be relayed.
type Request struct {
	Now      time.Duration
	Instance directory.InstanceID
	// CutOff is true if this gateway reaches no instance.
	CutOff bool
	// Tried are the addresses of the gateways that could not relay the request.
	Tried []string
	// AllowsZone reports whether the request may pass through a zone; nil allows all.
	AllowsZone func(zone string) bool
	// Random holds two numbers in [0, 1).
	Random [2]float64
}

// Available reports whether a gateway can be asked to relay a request.
func (c *Chooser) Available(request Request) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.usable(request)) > 0
}

// Choose returns the gateway to ask, and counts the request as in flight there.
func (c *Chooser) Choose(request Request) (directory.Relay, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	usable := c.usable(request)
	if len(usable) == 0 {
		return directory.Relay{}, false
	}
	c.chosen++
	if proved := c.proved(usable); len(proved) >= enoughProved && c.chosen%exploreInterval != 0 {
		usable = proved
	}
	chosen := usable[int(request.Random[0]*float64(len(usable)))]
	other := usable[int(request.Random[1]*float64(len(usable)))]
	if c.cost(other) < c.cost(chosen) {
		chosen = other
	}
	c.state(chosen.Address).inFlight++
	return chosen, true
}

// proved returns the relays that are known to work. The mutex must be held.
func (c *Chooser) proved(candidates []directory.Relay) []directory.Relay {
	var proved []directory.Relay
	for _, each := range candidates {
		if known, found := c.states[each.Address]; found && known.proved {
			proved = append(proved, each)
		}
	}
	return proved
}

// cost is the number of requests in flight through a gateway, with a surcharge for another zone. The mutex must
// be held.
func (c *Chooser) cost(candidate directory.Relay) int {
	cost := 0
	if known, found := c.states[candidate.Address]; found {
		cost = known.inFlight
	}
	if candidate.Zone != c.zone {
		cost += crossZoneLoad
	}
	return cost
}

// usable returns the gateways that can be asked. The mutex must be held.
func (c *Chooser) usable(request Request) []directory.Relay {
	tries := maxSingleTries
	if request.CutOff {
		tries = MaxTries
	}
	if request.Now < c.isolatedUntil || len(request.Tried) >= tries || c.reporting(request.Now, request.Instance) >= MaxTries {
		return nil
	}
	var usable []directory.Relay
	for _, each := range c.relays {
		if request.AllowsZone != nil && !request.AllowsZone(each.Zone) || slices.Contains(request.Tried, each.Address) {
			continue
		}
		if known, found := c.states[each.Address]; found && request.Now < known.pausedUntil {
			continue
		}
		if _, reported := c.reports[request.Instance][each.Address]; reported {
			continue
		}
		usable = append(usable, each)
	}
	return usable
}

func (c *Chooser) state(address string) *state {
	known, found := c.states[address]
	if !found {
		known = &state{pause: firstPause}
		c.states[address] = known
	}
	return known
}

// Outcome is what became of a request at a relay.
type Outcome int

const (
	// Worked means that the relay sent the request to the instance.
	Worked Outcome = iota
	// InstanceUnreachable means that the relay reaches other instances, but not this one.
	InstanceUnreachable
	// RelayUnusable means that the relay broke the connection, or is cut off from all instances itself.
	RelayUnusable
	// Unanswered means that the deadline passed without an answer, of the instance or the relay.
	Unanswered
	// RelayUnreachable means that no connection to the relay could be opened.
	RelayUnreachable
	// Declined means that the relay did not send the request for another reason.
	Declined
)

// End counts a request as ended at a relay.
func (c *Chooser) End(now time.Duration, address string, id directory.InstanceID, outcome Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.state(address)
	known.inFlight = max(known.inFlight-1, 0)
	if outcome == RelayUnreachable {
		c.recordUnreached(now)
	} else {
		c.unreached = 0
	}
	switch outcome {
	case Worked:
		known.pause, known.unanswered, known.proved = firstPause, 0, true
		delete(c.reports[id], address)
	case InstanceUnreachable:
		known.unanswered = 0
		c.report(now, address, id)
	case RelayUnusable, RelayUnreachable:
		known.endUnusable(now)
	case Unanswered:
		known.unanswered++
		if known.unanswered >= silentAfter {
			known.endUnusable(now)
		}
	case Declined:
	}
}

// endUnusable starts a pause in which the relay is not asked.
func (s *state) endUnusable(now time.Duration) {
	s.pausedUntil = now + s.pause
	s.pause = min(2*s.pause, maxPause)
	s.unanswered, s.proved = 0, false
}

// recordUnreached records that no connection to a relay could be opened. The mutex must be held.
func (c *Chooser) recordUnreached(now time.Duration) {
	c.unreached++
	if c.unreached >= isolatedAfter {
		c.isolatedUntil = now + isolationPause
	}
}

// report records that a relay cannot reach an instance. The mutex must be held.
func (c *Chooser) report(now time.Duration, address string, id directory.InstanceID) {
	reports, found := c.reports[id]
	if !found {
		reports = make(map[string]time.Duration)
		c.reports[id] = reports
	}
	reports[address] = now + reportTime
}

// reporting counts the gateways that could not reach an instance of late. The mutex must be held.
func (c *Chooser) reporting(now time.Duration, id directory.InstanceID) int {
	count := 0
	for address, until := range c.reports[id] {
		if now >= until {
			delete(c.reports[id], address)
			continue
		}
		count++
	}
	return count
}

// Forget drops the instances that are no longer known.
func (c *Chooser) Forget(known func(directory.InstanceID) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id := range c.reports {
		if !known(id) {
			delete(c.reports, id)
		}
	}
}

package gateway

import (
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// A gateway that starts knows only the seeds, which are few and lie in few zones, and learns the other
// controllers from them. It then switches to its home controller, one of those in its own network, so that
// streams spread evenly over all controllers and changes of the directory do not cross zone borders once per
// gateway: without it, 919 of 985 gateways stayed with one of ten controllers.

const (
	// minHomeDelay and maxHomeDelay bound the delay before a gateway switches, over which gateways that start
	// together are spread.
	minHomeDelay = time.Second
	maxHomeDelay = 3 * time.Second
	// homeRetryDelay is the additional delay after a home controller did not answer.
	homeRetryDelay = 30 * time.Second
)

var errSwitchToHome = eris.New("another controller is the home controller of this gateway")

// homeSwitch decides when a gateway switches to its home controller. It is not safe for concurrent use.
type homeSwitch struct {
	// dueAt is the time of the switch; zero while there is no reason for one.
	dueAt time.Time
	// tried is true once a switch was tried.
	tried bool
}

// due reports whether to switch now. OtherController is true if the current stream is not that of the home
// controller. Random is a number in [0, 1).
func (h *homeSwitch) due(now time.Time, otherController bool, random float64) bool {
	if !otherController {
		*h = homeSwitch{}
		return false
	}
	if h.dueAt.IsZero() {
		wait := minHomeDelay + time.Duration(random*float64(maxHomeDelay-minHomeDelay))
		if h.tried {
			wait += homeRetryDelay
		}
		h.dueAt = now.Add(wait)
	}
	if now.Before(h.dueAt) {
		return false
	}
	h.dueAt, h.tried = time.Time{}, true
	return true
}

// receiveControllers receives the first update of a controller, which names the others, and returns
// errSwitchToHome if another one is the home controller. The whole directory is only sent after the first
// ping, so that only the home controller sends it.
func (s *subscription) receiveControllers(connection *wire.Conn, from source) error {
	var update message.DirectoryUpdate
	if err := connection.Receive(&update); err != nil {
		return err
	}
	if err := s.apply(update, from); err != nil {
		return err
	}
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	home := s.home(s.controllers)
	if s.homeSwitch.tried || home == "" || home == from.address {
		return nil
	}
	s.homeSwitch.tried = true
	return errSwitchToHome
}

// homeToSwitchTo returns the home controller if it is time to switch to it from the stream of another one, else an
// empty address.
func (s *subscription) homeToSwitchTo(from source) string {
	if from.search == nil {
		return ""
	}
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	home := s.home(s.controllers)
	if !s.homeSwitch.due(time.Now(), home != "" && home != from.address, rand.Float64()) {
		return ""
	}
	telemetry.With(s.log, telemetry.EventControllerLost).WithField(telemetry.FieldAddress, from.address).WithField("home", home).
		WithField(fieldTableAge, ageMs(s.age())).Info("switching the directory stream to the home controller")
	return home
}

// home returns the home controller of this gateway.
func (s *subscription) home(controllers []string) string {
	return homeOf(s.settings.Name, s.settings.Address, controllers)
}

// homeOf returns the home controller of a gateway: among the controllers whose addresses share the longest
// network prefix with its own, the one that rendezvous hashing selects by its name, so that few gateways
// change when controllers come or go. Gateways that listen on all of their interfaces have the same address,
// which shares no network, and are spread over all controllers. It is empty if there are no controllers.
func homeOf(name, own string, controllers []string) string {
	home, homeShared, homeWeight := "", -1, uint64(0)
	for _, each := range controllers {
		shared := wire.SharedNetwork(each, own)
		weight := xxhash.Sum64String(name + " " + each)
		if shared > homeShared || shared == homeShared && weight > homeWeight {
			home, homeShared, homeWeight = each, shared, weight
		}
	}
	return home
}

// candidates returns the controllers to ask, those of the cluster and the seeds: the home controller first,
// then those in the own network, otherwise in random order.
func (s *subscription) candidates() []string {
	s.viewLock.Lock()
	addresses := slices.Clone(s.controllers)
	s.viewLock.Unlock()
	home := s.home(addresses)
	for _, seed := range s.settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		address := net.JoinHostPort(host, strconv.Itoa(s.settings.ControllerPort))
		if err == nil && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	rank := func(address string) int {
		if address == home {
			return 2*wire.SharedNetwork(address, s.settings.Address) + 1
		}
		return 2 * wire.SharedNetwork(address, s.settings.Address)
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return rank(b) - rank(a) })
	return addresses
}

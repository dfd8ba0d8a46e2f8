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
	"github.com/thorntiller/thorntiller/internal/wire"
)

// A gateway that starts knows the seeds alone, which are few and lie in few zones, and hears of the
// other controllers from them. It then goes over to its home, one of those of its own network, so
// that streams spread evenly over all controllers and changes of the directory do not cross a border
// for each gateway: of 985 gateways 919 had stayed with one of ten controllers.

const (
	// homeSoonest and homeLatest bound the time after which a gateway goes over: gateways of one
	// start spread over it.
	homeSoonest = time.Second
	homeLatest  = 3 * time.Second
	// homeAgain is how much later it tries again after its home did not answer.
	homeAgain = 30 * time.Second
)

var errGoesHome = eris.New("another controller is the home of this gateway")

// homing decides when a gateway goes over to its home. It is not safe for concurrent use.
type homing struct {
	// due is when it does, zero while it has no reason to.
	due time.Time
	// tried is true once it has tried.
	tried bool
}

// look takes whether the stream that is followed is one of another controller than the home, and
// reports whether to go over now. Random is a number in [0, 1).
func (h *homing) look(now time.Time, away bool, random float64) bool {
	if !away {
		*h = homing{}
		return false
	}
	if h.due.IsZero() {
		wait := homeSoonest + time.Duration(random*float64(homeLatest-homeSoonest))
		if h.tried {
			wait += homeAgain
		}
		h.due = now.Add(wait)
	}
	if now.Before(h.due) {
		return false
	}
	h.due, h.tried = time.Time{}, true
	return true
}

// hearOfControllers takes the first update of a controller, which names the others, and returns
// errGoesHome if the home is another one. The whole directory follows the first ping, so that it
// comes from the home alone.
func (s *subscription) hearOfControllers(connection *wire.Conn, from source) error {
	var update message.DirectoryUpdate
	if err := connection.Receive(&update); err != nil {
		return err
	}
	if err := s.take(update); err != nil {
		return err
	}
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	home := s.home(s.controllers)
	if s.homing.tried || home == "" || home == from.address {
		return nil
	}
	s.homing.tried = true
	return errGoesHome
}

// goesHome reports whether the stream of a controller is to be left for that of the home.
func (s *subscription) goesHome(from source) bool {
	if from.peer {
		return false
	}
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	home := s.home(s.controllers)
	return s.homing.look(time.Now(), home != "" && home != from.address, rand.Float64())
}

// home returns the home of this gateway among controllers.
func (s *subscription) home(controllers []string) string {
	return homeOf(s.settings.Name, s.settings.Address, controllers)
}

// homeOf returns the home of a gateway: of the controllers whose addresses share the most with its
// own the one that a rendezvous hash draws by its name, so that few change when controllers come or
// go. Gateways that listen at one address on all of their interfaces share none, and are spread
// over all. It is empty if there are no controllers.
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

// candidates returns the controllers to ask: those of the group and the seeds,
// the home first and those of the own network next, else in a random order.
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

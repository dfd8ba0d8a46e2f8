package routing

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Splitter divides the requests of routes among services by smooth weighted round robin,
// so that the weights hold even over few requests. It is safe for concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	states map[string]*splitState
}

// splitState is the round robin state of one route at one version.
type splitState struct {
	version uint64
	// credit holds a value for each share of the split. Each request adds to it the share's
	// weight; the share with the highest credit gets the request, and the total weight is
	// subtracted from its credit.
	credit []float64
}

// NewSplitter returns a splitter without state for any route.
func NewSplitter() *Splitter {
	return &Splitter{states: make(map[string]*splitState)}
}

// Pick returns the service that gets the next request of a route. Random is a number in
// [0, 1) that determines where the rotation of a new or changed route starts, so that
// gateways do not all start with the same service.
func (s *Splitter) Pick(route *directory.Route, random float64) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.states[route.Name]
	if !found || state.version != route.Version {
		state = &splitState{version: route.Version, credit: make([]float64, len(route.Split))}
		state.initialize(route, random)
		s.states[route.Name] = state
	}
	return route.Split[state.next(route)].Service
}

func totalWeight(route *directory.Route) float64 {
	total := 0.0
	for _, share := range route.Split {
		total += share.Weight
	}
	return total
}

// initialize gives one share, drawn at random by weight, an initial credit of half the
// total weight.
func (s *splitState) initialize(route *directory.Route, random float64) {
	total := totalWeight(route)
	drawn := random * total
	for index, share := range route.Split {
		if drawn < share.Weight {
			s.credit[index] = total / 2
			return
		}
		drawn -= share.Weight
	}
}

func (s *splitState) next(route *directory.Route) int {
	best := -1
	for index, share := range route.Split {
		if share.Weight <= 0 {
			continue
		}
		s.credit[index] += share.Weight
		if best < 0 || s.credit[index] > s.credit[best] {
			best = index
		}
	}
	s.credit[best] -= totalWeight(route)
	return best
}

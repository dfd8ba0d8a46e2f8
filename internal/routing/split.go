package routing

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Splitter divides the requests of routes among services by their weights, evenly
// also over few requests. It is safe for concurrent use.
type Splitter struct {
	mutex sync.Mutex
	turns map[string]*turns
}

// turns are those of one route at one version.
type turns struct {
	version uint64
	// credit grows by each part's weight with each request; the part with the most
	// gets the request and pays the sum of the weights.
	credit []float64
}

// NewSplitter returns a splitter that has seen no request.
func NewSplitter() *Splitter {
	return &Splitter{turns: make(map[string]*turns)}
}

// Pick returns the service that gets the next request of a route. Random is a number
// in [0, 1) with which a route begins.
func (s *Splitter) Pick(route *directory.Route, random float64) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.turns[route.Name]
	if !found || state.version != route.Version {
		state = &turns{version: route.Version, credit: make([]float64, len(route.Split))}
		state.begin(route, random)
		s.turns[route.Name] = state
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

// begin gives one part, drawn by weight, a start.
func (t *turns) begin(route *directory.Route, random float64) {
	total := totalWeight(route)
	drawn := random * total
	for index, share := range route.Split {
		if drawn < share.Weight {
			t.credit[index] = total / 2
			return
		}
		drawn -= share.Weight
	}
}

func (t *turns) next(route *directory.Route) int {
	best := -1
	for index, share := range route.Split {
		if share.Weight <= 0 {
			continue
		}
		t.credit[index] += share.Weight
		if best < 0 || t.credit[index] > t.credit[best] {
			best = index
		}
	}
	t.credit[best] -= totalWeight(route)
	return best
}

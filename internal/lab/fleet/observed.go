package fleet

import (
	"math"

	"github.com/thorntiller/thorntiller/internal/state"
)

// keyShare returns the part of the key space that a server of an observed
// service owns by its team's scripts.
func keyShare(service Service, number int) state.KeyRange {
	width := math.MaxUint64 / uint64(service.Servers)
	keys := state.KeyRange{First: uint64(number) * width, Last: uint64(number+1)*width - 1}
	if number == service.Servers-1 {
		keys.Last = math.MaxUint64
	}
	return keys
}

// ownershipMap returns the scripts' ownership of an observed service; empty for
// one without keys.
func (f *Fleet) ownershipMap(service Service) state.OwnershipMap {
	var owned state.OwnershipMap
	if !service.Keyed {
		return owned
	}
	for _, backEnd := range f.BackEnds {
		if backEnd.Service.Name == service.Name {
			owned.Ranges = append(owned.Ranges, state.OwnedRange{Range: backEnd.Claim, Server: backEnd.Spec.ID})
		}
	}
	return owned
}

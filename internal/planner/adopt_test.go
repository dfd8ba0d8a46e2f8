package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

var members = map[state.ServerID]bool{"a": true, "b": true, "c": true}

// randomMap returns a random map with disjoint ranges, single keys and an owner of the
// rest.
func randomMap(random *rand.Rand) state.OwnershipMap {
	names := []state.ServerID{"a", "b", "c"}
	drawn := state.OwnershipMap{Rest: names[random.IntN(len(names))]}
	next := random.Uint64() >> random.IntN(64)
	for range random.IntN(6) {
		width := random.Uint64() >> (1 + random.IntN(63))
		if next > math.MaxUint64-width {
			break
		}
		drawn.Ranges = append(drawn.Ranges, state.OwnedRange{Range: state.KeyRange{First: next, Last: next + width}, Server: names[random.IntN(len(names))]})
		gap := random.Uint64() >> (2 + random.IntN(62))
		if next+width > math.MaxUint64-gap-1 {
			break
		}
		next += width + 1 + gap
	}
	for key := range random.IntN(6) {
		drawn.Keys = append(drawn.Keys, state.OwnedKey{Key: fmt.Sprint("key-", key), Server: names[random.IntN(len(names))]})
	}
	random.Shuffle(len(drawn.Ranges), func(i, j int) { drawn.Ranges[i], drawn.Ranges[j] = drawn.Ranges[j], drawn.Ranges[i] })
	return drawn
}

// expectedOwner returns the owner of a hash according to the map: by its keys, else by
// its ranges, else Rest.
func expectedOwner(imported state.OwnershipMap, hash uint64) state.ServerID {
	for _, owned := range imported.Keys {
		if state.HashKey(owned.Key) == hash {
			return owned.Server
		}
	}
	for _, owned := range imported.Ranges {
		if owned.Range.Contains(hash) {
			return owned.Server
		}
	}
	return imported.Rest
}

func TestComposedMapCoversTheKeySpaceAsImported(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("each hash belongs to the imported owner", prop.ForAll(func(seed uint64) string {
		imported := randomMap(rand.New(rand.NewPCG(seed, 0)))
		ranges, err := composeMap(imported, members)
		if err != nil {
			return err.Error()
		}
		next := uint64(0)
		for position, owned := range ranges {
			last := position == len(ranges)-1
			if owned.Range.First != next || owned.Range.Last < owned.Range.First || last != (owned.Range.Last == math.MaxUint64) {
				return fmt.Sprintf("range %d is %+v, want it to start at %d, and only the last to reach the end", position, owned.Range, next)
			}
			for _, hash := range []uint64{owned.Range.First, owned.Range.Last} {
				if want := expectedOwner(imported, hash); owned.Server != want {
					return fmt.Sprintf("hash %d belongs to %s, want %s", hash, owned.Server, want)
				}
			}
			next = owned.Range.Last + 1
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestMapsThatAreRefused(t *testing.T) {
	keySpace := state.KeyRange{Last: math.MaxUint64}
	tests := map[string]state.OwnershipMap{
		"nothing covers the key space":  {},
		"gap without rest":              {Ranges: []state.OwnedRange{{Range: state.KeyRange{First: 5, Last: math.MaxUint64}, Server: "a"}}},
		"overlap":                       {Ranges: []state.OwnedRange{{Range: keySpace, Server: "a"}, {Range: state.KeyRange{First: 7, Last: 8}, Server: "b"}}},
		"empty range":                   {Ranges: []state.OwnedRange{{Range: state.KeyRange{First: 8, Last: 7}, Server: "b"}}, Rest: "a"},
		"server of another service":     {Rest: "x"},
		"key of another service's":      {Keys: []state.OwnedKey{{Key: "k", Server: "x"}}, Rest: "a"},
		"one key twice":                 {Keys: []state.OwnedKey{{Key: "k", Server: "a"}, {Key: "k", Server: "b"}}, Rest: "a"},
		"key without a name":            {Keys: []state.OwnedKey{{Server: "a"}}, Rest: "a"},
		"range up to the end, then one": {Ranges: []state.OwnedRange{{Range: keySpace, Server: "a"}, {Range: keySpace, Server: "a"}}},
	}
	for name, imported := range tests {
		if _, err := composeMap(imported, members); fault.KindOf(err) != fault.InvalidArgument {
			t.Errorf("%s: error %v, want invalid_argument", name, err)
		}
	}
}

package state

import (
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// sectionsOf computes the section digests from scratch over every object.
func sectionsOf(view *State) (SectionDigests, uint64) {
	sections := make(SectionDigests)
	whole := uint64(0)
	for _, object := range view.Objects() {
		sections.toggle(object, ObjectDigest(object))
		whole ^= ObjectDigest(object)
	}
	return sections, whole
}

// TestSectionDigestsAgreeWithEveryObject checks the section digests after each change,
// that the differences of a change turn the previous digests into the new ones, and
// that a restored state has the same digests.
func TestSectionDigestsAgreeWithEveryObject(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(13)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("sections are sums over their objects", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 5))
		m := withService(t, 1+random.IntN(8))
		m.confirm("other", Operation{PutService: &Service{Name: "other"}}, Operation{PutServer: &Server{ID: "c", Service: "other"}})
		for number := range 40 {
			before := m.state.SectionDigests()
			router := Router{ID: RouterID(rune('r' + random.IntN(3)))}
			result := m.apply(Command{PutRouter: &PutRouter{Router: router}})
			if number%2 == 0 {
				before, result = m.state.SectionDigests(), m.apply(Command{OpenSession: &OpenSession{Server: "c", Incarnation: string(rune('a' + number))}})
			}
			for section, difference := range result.Differences {
				if before[section] ^= difference; before[section] == 0 {
					delete(before, section)
				}
			}
			if !maps.Equal(before, m.state.SectionDigests()) {
				t.Logf("differences %v do not produce %v", result.Differences, m.state.SectionDigests())
				return false
			}
			m.applyRandom(random)
			sections, whole := sectionsOf(m.state)
			if whole != m.state.Digest() || !maps.Equal(sections, m.state.SectionDigests()) {
				t.Logf("got %v, want %v", m.state.SectionDigests(), sections)
				return false
			}
		}
		encoded, err := m.state.Encode()
		if err != nil {
			return false
		}
		restored, err := Decode(encoded)
		return err == nil && maps.Equal(restored.SectionDigests(), m.state.SectionDigests())
	}, gen.UInt64()))
	properties.TestingRun(t)
}

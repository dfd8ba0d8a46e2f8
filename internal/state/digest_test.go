package state

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// integerBoundaries are values at which msgpack changes the encoding of an integer.
var integerBoundaries = []any{
	uint64(0), uint64(0x7f), uint64(0x80), uint64(math.MaxUint8), uint64(math.MaxUint8 + 1), uint64(math.MaxUint16),
	uint64(math.MaxUint16 + 1), uint64(math.MaxUint32), uint64(math.MaxUint32 + 1), uint64(math.MaxUint64),
}

// stringLengths are those at which msgpack changes the encoding of a string.
var stringLengths = []any{0, 1, 31, 32, 255, 256, 65_535, 65_536}

// TestShardDigest compares the bytes that are hashed with the codec's encoding:
// controllers and routers of different versions must agree on them.
func TestShardDigest(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	number := gen.OneGenOf(gen.OneConstOf(integerBoundaries...), gen.UInt64())
	length := gen.OneConstOf(stringLengths...)
	properties.Property("a shard is encoded as the codec does it", prop.ForAll(
		func(numbers []uint64, lengths []int, phase ShardPhase) bool {
			shard := Shard{
				ID: ShardID(numbers[0]), Range: KeyRange{First: numbers[1], Last: numbers[2]}, Phase: phase,
				Epoch: Epoch(numbers[3]), Revision: Revision(numbers[4]), Service: ServiceName(strings.Repeat("s", lengths[0])),
				Owner: ServerID(strings.Repeat("o", lengths[1])), Target: ServerID(strings.Repeat("t", lengths[2])),
			}
			var encoded bytes.Buffer
			encodeShardObject(&encoded, &shard)
			expected, err := codec.Marshal(&Object{Shard: &shard})
			return err == nil && bytes.Equal(encoded.Bytes(), expected)
		},
		gen.SliceOfN(5, number, reflect.TypeFor[uint64]()), gen.SliceOfN(3, length, reflect.TypeFor[int]()),
		gen.OneConstOf(ShardUnowned, ShardOwned, ShardRevoking),
	))
	properties.TestingRun(t)
}

// TestShardFields fails if a field is added to Shard that the digest omits.
func TestShardFields(t *testing.T) {
	const known = 8
	if fields := reflect.TypeFor[Shard]().NumField(); fields != known {
		t.Errorf("a shard has %d fields: add the new one to encodeShardObject and TestShardDigest", fields)
	}
}

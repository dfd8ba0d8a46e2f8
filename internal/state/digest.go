package state

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// ObjectDigest returns the xxhash of the object's msgpack encoding; zero for a
// deleted object. The digest of a table is the exclusive-or over its objects.
func ObjectDigest(object Object) uint64 {
	if object.Deleted {
		return 0
	}
	if object.Shard != nil {
		return shardDigest(object.Shard)
	}
	encoded, err := codec.Marshal(&object)
	if err != nil {
		// The types hold no value that msgpack cannot encode.
		panic("state: encode object: " + err.Error())
	}
	return xxhash.Sum64(encoded)
}

// shardRoom is enough for a shard whose names are of usual length.
const shardRoom = 256

// shardDigest is the digest of a shard's object. The loss of a zone changes tens of
// thousands of shards within the time of a lease, so that the bytes are put
// together without reflection.
func shardDigest(shard *Shard) uint64 {
	var room [shardRoom]byte
	return xxhash.Sum64(appendShardObject(room[:0], shard))
}

// appendShardObject appends what codec.Marshal makes of an object that holds the
// shard alone.
func appendShardObject(encoded []byte, shard *Shard) []byte {
	const fieldsAlways = 6
	fields := fieldsAlways
	if shard.Owner != "" {
		fields++
	}
	if shard.Target != "" {
		fields++
	}
	encoded = append(encoded, fixedMap|1)
	encoded = append(appendString(encoded, "S"), fixedMap|byte(fields))
	encoded = appendUint(appendString(encoded, "i"), uint64(shard.ID))
	encoded = appendString(appendString(encoded, "s"), string(shard.Service))
	encoded = append(appendString(encoded, "r"), fixedMap|2) //nolint:mnd // a range has two fields
	encoded = appendUint(appendString(encoded, "f"), shard.Range.First)
	encoded = appendUint(appendString(encoded, "l"), shard.Range.Last)
	encoded = appendString(appendString(encoded, "p"), string(shard.Phase))
	if shard.Owner != "" {
		encoded = appendString(appendString(encoded, "o"), string(shard.Owner))
	}
	encoded = appendUint(appendString(encoded, "e"), uint64(shard.Epoch))
	if shard.Target != "" {
		encoded = appendString(appendString(encoded, "t"), string(shard.Target))
	}
	return appendUint(appendString(encoded, "v"), uint64(shard.Revision))
}

// Leading bytes of msgpack, and the bounds of its short forms.
const (
	fixedMap       = 0x80
	fixedString    = 0xa0
	string8        = 0xd9
	string16       = 0xda
	string32       = 0xdb
	uint8Code      = 0xcc
	uint16Code     = 0xcd
	uint32Code     = 0xce
	uint64Code     = 0xcf
	maxFixedUint   = 0x7f
	maxFixedString = 31
)

func appendUint(encoded []byte, value uint64) []byte {
	switch {
	case value <= maxFixedUint:
		return append(encoded, byte(value))
	case value <= math.MaxUint8:
		return append(encoded, uint8Code, byte(value))
	case value <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(encoded, uint16Code), uint16(value))
	case value <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(encoded, uint32Code), uint32(value))
	default:
		return binary.BigEndian.AppendUint64(append(encoded, uint64Code), value)
	}
}

func appendString(encoded []byte, value string) []byte {
	length := len(value)
	switch {
	case length <= maxFixedString:
		encoded = append(encoded, fixedString|byte(length))
	case length <= math.MaxUint8:
		encoded = append(encoded, string8, byte(length))
	case length <= math.MaxUint16:
		encoded = binary.BigEndian.AppendUint16(append(encoded, string16), uint16(length))
	default:
		encoded = binary.BigEndian.AppendUint32(append(encoded, string32), uint32(length))
	}
	return append(encoded, value...)
}

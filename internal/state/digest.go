package state

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// ObjectDigest returns the xxhash of the object's msgpack encoding, or zero for a
// deleted object. The digest of a table is the XOR of the digests of its objects.
func ObjectDigest(object Object) uint64 {
	if object.Deleted {
		return 0
	}
	if object.Shard != nil {
		return shardDigest(object.Shard)
	}
	encoded, err := codec.Marshal(&object)
	if err != nil {
		// Unreachable: msgpack can encode every field of an object.
		panic("state: encode object: " + err.Error())
	}
	return xxhash.Sum64(encoded)
}

// shardBufferSize is the initial buffer size in bytes, enough for a shard with names of
// usual length.
const shardBufferSize = 256

// shardDigest returns the digest of an object that holds the shard. The fields are
// encoded one by one, without reflection, because the loss of a zone changes tens of
// thousands of shards within the duration of a lease.
func shardDigest(shard *Shard) uint64 {
	var buffer [shardBufferSize]byte
	encoded := bytes.NewBuffer(buffer[:0])
	encodeShardObject(encoded, shard)
	return xxhash.Sum64(encoded.Bytes())
}

// encodeShardObject writes the same bytes as codec.Marshal does for an object that
// holds the shard.
func encodeShardObject(encoded *bytes.Buffer, shard *Shard) {
	fields := fieldEncoder{encoder: msgpack.GetEncoder()}
	defer msgpack.PutEncoder(fields.encoder)
	fields.encoder.Reset(encoded)
	fields.beginObject("S", shardFieldCount(shard))
	fields.number("i", uint64(shard.ID))
	fields.text("s", string(shard.Service))
	const rangeFields = 2
	fields.name("r")
	fields.mapLen(rangeFields)
	fields.number("f", shard.Range.First)
	fields.number("l", shard.Range.Last)
	fields.text("p", string(shard.Phase))
	fields.optionalText("o", string(shard.Owner))
	fields.number("e", uint64(shard.Epoch))
	fields.optionalText("t", string(shard.Target))
	fields.number("v", uint64(shard.Revision))
	if fields.err != nil {
		// Unreachable: writes to a bytes.Buffer do not fail.
		panic("state: encode shard: " + fields.err.Error())
	}
}

// shardFieldCount returns the number of encoded fields; an empty owner or target is
// omitted.
func shardFieldCount(shard *Shard) int {
	const always = 6
	count := always
	if shard.Owner != "" {
		count++
	}
	if shard.Target != "" {
		count++
	}
	return count
}

// fieldEncoder writes the fields of an object and keeps the first error.
type fieldEncoder struct {
	encoder *msgpack.Encoder
	err     error
}

func (f *fieldEncoder) recordError(err error) {
	if f.err == nil {
		f.err = err
	}
}

// beginObject begins a map with the single entry name, itself a map with the given number
// of fields.
func (f *fieldEncoder) beginObject(name string, fields int) {
	f.mapLen(1)
	f.name(name)
	f.mapLen(fields)
}

func (f *fieldEncoder) mapLen(fields int) { f.recordError(f.encoder.EncodeMapLen(fields)) }
func (f *fieldEncoder) name(name string)  { f.recordError(f.encoder.EncodeString(name)) }

func (f *fieldEncoder) number(name string, value uint64) {
	f.name(name)
	f.recordError(f.encoder.EncodeUint(value))
}

func (f *fieldEncoder) text(name, value string) {
	f.name(name)
	f.recordError(f.encoder.EncodeString(value))
}

func (f *fieldEncoder) optionalText(name, value string) {
	if value != "" {
		f.text(name, value)
	}
}

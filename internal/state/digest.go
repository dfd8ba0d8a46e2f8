package state

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

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
// thousands of shards within the time of a lease, so that the fields are encoded
// one by one, without reflection.
func shardDigest(shard *Shard) uint64 {
	var room [shardRoom]byte
	encoded := bytes.NewBuffer(room[:0])
	encodeShardObject(encoded, shard)
	return xxhash.Sum64(encoded.Bytes())
}

// encodeShardObject writes what codec.Marshal makes of an object that holds the
// shard alone.
func encodeShardObject(encoded *bytes.Buffer, shard *Shard) {
	fields := fieldEncoder{encoder: msgpack.GetEncoder()}
	defer msgpack.PutEncoder(fields.encoder)
	fields.encoder.Reset(encoded)
	fields.open("S", shardFieldCount(shard))
	fields.number("i", uint64(shard.ID))
	fields.text("s", string(shard.Service))
	const rangeFields = 2
	fields.name("r")
	fields.size(rangeFields)
	fields.number("f", shard.Range.First)
	fields.number("l", shard.Range.Last)
	fields.text("p", string(shard.Phase))
	fields.optional("o", string(shard.Owner))
	fields.number("e", uint64(shard.Epoch))
	fields.optional("t", string(shard.Target))
	fields.number("v", uint64(shard.Revision))
	if fields.failed != nil {
		// A buffer takes all that is written to it.
		panic("state: encode shard: " + fields.failed.Error())
	}
}

// shardFieldCount returns how many fields are encoded; empty names are left out.
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
	failed  error
}

func (f *fieldEncoder) note(err error) {
	if f.failed == nil {
		f.failed = err
	}
}

// open begins an object that holds one other of so many fields.
func (f *fieldEncoder) open(name string, fields int) {
	f.size(1)
	f.name(name)
	f.size(fields)
}

func (f *fieldEncoder) size(fields int)  { f.note(f.encoder.EncodeMapLen(fields)) }
func (f *fieldEncoder) name(name string) { f.note(f.encoder.EncodeString(name)) }

func (f *fieldEncoder) number(name string, value uint64) {
	f.name(name)
	f.note(f.encoder.EncodeUint(value))
}

func (f *fieldEncoder) text(name, value string) {
	f.name(name)
	f.note(f.encoder.EncodeString(value))
}

func (f *fieldEncoder) optional(name, value string) {
	if value != "" {
		f.text(name, value)
	}
}

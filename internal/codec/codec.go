// Package codec encodes this project's own types as msgpack, identically on the
// wire and on disk: structs as maps keyed by field name, so that a newer version
// may add fields, and integers in the fewest bytes that hold them.
package codec

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Append encodes value and appends the result to buffer.
func Append(buffer *bytes.Buffer, value any) error {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	encoder.UseCompactInts(true)
	return eris.Wrapf(encoder.Encode(value), "encode %T", value)
}

// Marshal returns the encoding of value.
func Marshal(value any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := Append(&buffer, value); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Unmarshal decodes encoded into value, which must be a pointer.
func Unmarshal(encoded []byte, value any) error {
	return eris.Wrapf(msgpack.Unmarshal(encoded, value), "decode %T", value)
}

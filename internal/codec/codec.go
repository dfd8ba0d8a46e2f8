// Package codec encodes this project's own types as msgpack, the same way on
// the wire and on disk: structs as maps by field name, so that a newer process
// may add fields, and integers in as few bytes as they need.
package codec

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Append encodes a value to the end of the buffer.
func Append(buffer *bytes.Buffer, value any) error {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	encoder.UseCompactInts(true)
	return eris.Wrapf(encoder.Encode(value), "encode %T", value)
}

// Marshal returns the encoded value.
func Marshal(value any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := Append(&buffer, value); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Unmarshal decodes into value, a pointer.
func Unmarshal(encoded []byte, value any) error {
	return eris.Wrapf(msgpack.Unmarshal(encoded, value), "decode %T", value)
}

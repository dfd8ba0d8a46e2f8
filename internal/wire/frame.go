package wire

import (
	"bytes"
	"encoding/binary"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// Frame is an encoded value, ready to be sent on any number of connections.
type Frame struct {
	content []byte
}

// Encode returns the frame that carries a value.
func Encode(value any) (Frame, error) {
	var buffer bytes.Buffer
	if err := encode(&buffer, value); err != nil {
		return Frame{}, err
	}
	return Frame{content: buffer.Bytes()}, nil
}

// Bytes returns the size of the frame in bytes, including its length field.
func (f Frame) Bytes() int { return len(f.content) }

// encode replaces the content of a buffer by the whole frame of a value.
func encode(buffer *bytes.Buffer, value any) error {
	buffer.Reset()
	buffer.Write(make([]byte, lengthBytes))
	if err := codec.Append(buffer, value); err != nil {
		return err
	}
	header := uint32(0)
	if buffer.Len() > compressionThreshold {
		if err := compress(buffer); err != nil {
			return err
		}
		header = compressedFlag
	}
	length := buffer.Len() - lengthBytes
	if length > maxFrameLength {
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), header|uint32(length))
	return nil
}

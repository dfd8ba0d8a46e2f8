package wire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// compressAbove is the size from which on a frame's content is compressed: long
	// messages are lists of like objects, and links may be narrow.
	compressAbove = 4 << 10
	// compressedFlag in the length of a frame says that its content is compressed.
	compressedFlag = 1 << 31
	// mostLength is the largest length beside the flag.
	mostLength = compressedFlag - 1
)

var (
	compressors = sync.Pool{New: func() any {
		compressor, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // the level is valid
		return compressor
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// compress replaces what stands behind the length of a frame by its compressed form.
func compress(buffer *bytes.Buffer) error {
	plain := frameBuffers.Get().(*bytes.Buffer)
	defer releaseBuffer(plain)
	plain.Reset()
	plain.Write(buffer.Bytes()[lengthBytes:])
	buffer.Truncate(lengthBytes)
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(buffer)
	if _, err := compressor.Write(plain.Bytes()); err != nil {
		return err
	}
	return compressor.Close()
}

// decompress returns the plain content of a frame in a buffer that the caller
// releases. The content may have at most a number of bytes.
func decompress(compressed []byte, limit int) (*bytes.Buffer, error) {
	plain := frameBuffers.Get().(*bytes.Buffer)
	plain.Reset()
	decompressor := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(decompressor)
	err := decompressor.(flate.Resetter).Reset(bytes.NewReader(compressed), nil)
	if err == nil {
		_, err = io.Copy(plain, io.LimitReader(decompressor, int64(limit)+1))
	}
	if err == nil && plain.Len() > limit {
		err = fmt.Errorf("%w: more than %d bytes once decompressed", ErrFrameTooLarge, limit)
	}
	if err == nil {
		return plain, nil
	}
	releaseBuffer(plain)
	if !errors.Is(err, ErrFrameTooLarge) {
		err = fmt.Errorf("decompress frame: %w", err)
	}
	return nil, err
}

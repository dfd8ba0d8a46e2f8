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
	// compressionThreshold is the size in bytes, including the length field, above
	// which a frame's content is compressed: long messages are lists of similar
	// objects, and links may have little bandwidth.
	compressionThreshold = 4 << 10
	// compressedFlag is the bit of the length field that marks compressed content.
	compressedFlag = 1 << 31
	// maxFrameLength is the largest length that fits beside compressedFlag.
	maxFrameLength = compressedFlag - 1
)

var (
	compressors = sync.Pool{New: func() any {
		compressor, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // the level is valid
		return compressor
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// compress replaces the content of a frame, which follows its length field, by
// its compressed form.
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

// decompress returns the decompressed content of a frame in a buffer that the
// caller must release. It fails if the content exceeds limit bytes.
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

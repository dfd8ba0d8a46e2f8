package wal

import (
	"bytes"
	"slices"
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
)

// TestFlippedBitIsNoTornWrite verifies that a single flipped bit in a complete
// last record counts as damage, also if the record starts near a sector boundary.
// Truncated as a torn write, an acknowledged record would be lost.
func TestFlippedBitIsNoTornWrite(t *testing.T) {
	for _, size := range []int{40, 200, 600} {
		entry := consensus.Entry{Index: 1, Term: 1, Data: bytes.Repeat([]byte("x"), size)}
		frame, err := encodeRecord(record{Entries: []consensus.Entry{entry}})
		if err != nil {
			t.Fatal(err)
		}
		for offset := sectorBytes - 16; offset <= sectorBytes; offset++ {
			whole := append(bytes.Repeat([]byte{1}, offset), frame...)
			for bit := offset * 8; bit < len(whole)*8; bit++ {
				data := slices.Clone(whole)
				data[bit/8] ^= 1 << (bit % 8)
				if _, _, reason := decodeRecord(data, offset); reason == "" || isTorn(data, offset) {
					t.Fatalf("record of %d bytes at %d: bit %d counts as torn (%q)", len(frame), offset, bit-offset*8, reason)
				}
			}
		}
	}
}

// TestLostLengthIsTornWrite verifies that a record counts as torn if neither the
// sector with the high bytes of its length nor the end of the record was written.
func TestLostLengthIsTornWrite(t *testing.T) {
	entry := consensus.Entry{Index: 1, Term: 1, Data: bytes.Repeat([]byte("x"), 600)}
	frame, err := encodeRecord(record{Entries: []consensus.Entry{entry}})
	if err != nil {
		t.Fatal(err)
	}
	for _, offset := range []int{sectorBytes - 3, sectorBytes - 2, sectorBytes - 1} {
		data := append(bytes.Repeat([]byte{1}, offset), frame[:len(frame)-5]...)
		clear(data[offset:sectorBytes])
		if !isTorn(data, offset) {
			t.Errorf("at offset %d the record counts as damaged", offset)
		}
	}
}

package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/overload"
)

// parts is a connection whose bytes arrive in parts of the given sizes, and then end.
type parts struct {
	text  string
	sizes func() int
}

// Read implements io.Reader.
func (p *parts) Read(target []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	count := copy(target[:min(len(target), max(1, p.sizes()))], p.text)
	p.text = p.text[count:]
	return count, nil
}

// headOf returns the head of a request of the given size, and its padding.
func headOf(size int) (head, padding string) {
	const begin, end = "GET /a HTTP/1.1\r\nHost: a\r\nX-Padding: ", "\r\n\r\n"
	padding = strings.Repeat("x", size-len(begin)-len(end))
	return begin + padding + end, padding
}

// parse parses one head as a server does, and tells the reader of it. It moves to larger buffers as often as need be.
func parse(heads *HeadReader, bufferBytes int) (header *fasthttp.RequestHeader, rest io.Reader, moves int, err error) {
	for ; ; moves++ {
		parser := bufio.NewReaderSize(heads, bufferBytes)
		if _, err := parser.Peek(1); err != nil {
			return nil, nil, moves, err
		}
		heads.Began()
		header = &fasthttp.RequestHeader{}
		err = header.Read(parser)
		if !errors.Is(err, ErrOutgrown) {
			return header, parser, moves, err
		}
		heads, bufferBytes = heads.Moved()
	}
}

// TestHeadsAreReadWholeUpToTheLimit plays heads and limits of random sizes, whose bytes arrive in random parts: each head
// within the limit is parsed whole, with the body behind it, and none beyond the limit that does not fit into the buffer.
func TestHeadsAreReadWholeUpToTheLimit(t *testing.T) {
	const bufferBytes = 4 << 10
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		size, limit := 60+random.IntN(8*bufferBytes), bufferBytes+random.IntN(8*bufferBytes)
		if random.IntN(4) == 0 {
			size = limit + random.IntN(3) - 1
		}
		largest := 1 << random.IntN(16)
		head, padding := headOf(size)
		const body = "the body and what follows"
		source := &parts{text: head + body, sizes: func() int { return 1 + random.IntN(largest) }}
		budget := overload.NewBudget(overload.Limits{Bytes: mebibyte, Connections: 1})
		load := budget.Open(0, stalledClient{&net.TCPConn{}})
		heads := NewHeadReader(source, bufferBytes, func() int { return limit }, load, clock.NewSystem())
		header, rest, moves, err := parse(heads, bufferBytes)
		if size > limit && size > bufferBytes {
			if !errors.Is(err, ErrHeadTooLarge) {
				t.Errorf("seed %d: size %d, limit %d: error %v", seed, size, limit, err)
			}
			continue
		}
		if err != nil || string(header.Peek("X-Padding")) != padding {
			t.Errorf("seed %d: size %d, limit %d: %d bytes, error %v", seed, size, limit, len(header.Peek("X-Padding")), err)
			continue
		}
		if behind, err := io.ReadAll(rest); err != nil || string(behind) != body {
			t.Errorf("seed %d: behind the head %q, error %v", seed, behind, err)
		}
		if isLarge := size > bufferBytes; isLarge != (moves == 1) {
			t.Errorf("seed %d: size %d, %d moves", seed, size, moves)
		}
		if kept := budget.Used(); size > bufferBytes && kept < int64(size) || size <= bufferBytes && kept > 0 {
			t.Errorf("seed %d: size %d, %d bytes reserved", seed, size, kept)
		}
		load.Close()
		if used := budget.Used(); used != 0 {
			t.Errorf("seed %d: %d bytes are still taken", seed, used)
		}
	}
}

// TestLimitOfHeadsHoldsFromTheNextHeadOn guards against a limit that is taken once for a connection.
func TestLimitOfHeadsHoldsFromTheNextHeadOn(t *testing.T) {
	const bufferBytes = 4 << 10
	limit := bufferBytes
	small, _ := headOf(100)
	large, _ := headOf(3 * bufferBytes)
	pending := ""
	source := &parts{sizes: func() int { return 1000 }}
	heads := NewHeadReader(source, bufferBytes, func() int { return limit }, nil, clock.NewSystem())
	parser := bufio.NewReaderSize(heads, bufferBytes)
	for step, test := range []struct {
		limit int
		head  string
		want  error
	}{
		{bufferBytes, small, nil},
		{4 * bufferBytes, large, ErrOutgrown},
	} {
		limit, pending = test.limit, test.head
		source.text = pending
		if _, err := parser.Peek(1); err != nil {
			t.Fatal(err)
		}
		heads.Began()
		var header fasthttp.RequestHeader
		if err := header.Read(parser); !errors.Is(err, test.want) {
			t.Fatalf("step %d: error %v", step, err)
		}
		if test.want == nil {
			heads.Next()
		}
	}
	moved, size := heads.Moved()
	if size != 4*bufferBytes {
		t.Errorf("the next buffer has %d bytes", size)
	}
	limit = 2 * bufferBytes
	parser = bufio.NewReaderSize(moved, size)
	var header fasthttp.RequestHeader
	if err := header.Read(parser); err != nil {
		t.Errorf("the head that was accepted: %v", err)
	}
}

// TestHeadThatStopsShortTakesReservedMemory guards against memory that is taken for heads outside of the budget, or before
// their bytes have come.
func TestHeadThatStopsShortTakesReservedMemory(t *testing.T) {
	const bufferBytes = 16 << 10
	head, _ := headOf(60 << 10)
	for _, test := range []struct {
		budget int64
		want   error
	}{{mebibyte, io.EOF}, {30 << 10, ErrNoMemory}} {
		budget := overload.NewBudget(overload.Limits{Bytes: test.budget, Connections: 1})
		load := budget.Open(0, stalledClient{&net.TCPConn{}})
		source := &parts{text: head[:50<<10], sizes: func() int { return 1400 }}
		heads := NewHeadReader(source, bufferBytes, func() int { return 64 << 10 }, load, clock.NewSystem())
		_, _, _, err := parse(heads, bufferBytes)
		if !errors.Is(err, test.want) {
			t.Errorf("a budget of %d bytes: error %v", test.budget, err)
		}
		// The copy, and the one of half its size that it replaces.
		if used := budget.Peak(); used > 96<<10 {
			t.Errorf("a budget of %d bytes: %d bytes were reserved", test.budget, used)
		}
	}
}

// TestHeadsBehindOthersAreNotMoved checks heads that come with the request before: the server has their beginning already.
func TestHeadsBehindOthersAreNotMoved(t *testing.T) {
	const bufferBytes = 4 << 10
	first, _ := headOf(100)
	second, _ := headOf(2 * bufferBytes)
	source := &parts{text: first + second, sizes: func() int { return bufferBytes }}
	heads := NewHeadReader(source, bufferBytes, func() int { return mebibyte }, nil, clock.NewSystem())
	header, parser, _, err := parse(heads, bufferBytes)
	if err != nil || string(header.Host()) != "a" {
		t.Fatal(err)
	}
	heads.Next()
	heads.Began()
	buffered, isBuffered := parser.(*bufio.Reader)
	if !isBuffered {
		t.Fatalf("the parser reads from a %T", parser)
	}
	var tooSmall *fasthttp.ErrSmallBuffer
	if err := header.Read(buffered); !errors.As(err, &tooSmall) {
		t.Errorf("error %v", err)
	}
	if heads.Outgrown() {
		t.Error("a head without its first bytes was moved")
	}
}

func TestHeadEnd(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\n\r\nbody":             18,
		"GET / HTTP/1.1\n\nbody":                 16,
		"\r\n\r\nGET / HTTP/1.1\r\nA: b\r\n\r\n": 28,
		"GET / HTTP/1.1\r\nA: b\r\n":             -1,
		"\r\n\r\n\r\n":                           -1,
		"GET / HTTP/1.1\r\n \r\n\r\n":            21,
	} {
		for step := 1; step <= len(text); step++ {
			var ending headEnd
			got := -1
			for used := 0; used < len(text) && got < 0; used += step {
				if found := ending.find([]byte(text[used:min(len(text), used+step)])); found >= 0 {
					got = used + found
				}
			}
			if got != want {
				t.Errorf("%q in parts of %d: %d, want %d", text, step, got, want)
			}
		}
	}
}

func BenchmarkHeadReader(b *testing.B) {
	const bufferBytes = 16 << 10
	for _, size := range []int{600, 12 << 10, 24 << 10, 60 << 10} {
		head, _ := headOf(size)
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				source := &parts{text: head, sizes: func() int { return 64 << 10 }}
				heads := NewHeadReader(source, bufferBytes, func() int { return 64 << 10 }, nil, clock.NewSystem())
				if _, _, _, err := parse(heads, bufferBytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

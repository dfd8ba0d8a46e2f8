package answerhead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// answers are the first lines of answers, and whether they have a valid status.
var answers = map[string]bool{
	"HTTP/1.1 200 OK": true, "HTTP/1.1 100": true, "HTTP/1.1  204 No Content": true, "HTTP/1.0 999 ": true,
	"HTTP/1.1 000 OK": false, "HTTP/1.1 099 OK": false, "HTTP/1.1 2000 OK": false, "HTTP/1.1 20 OK": false, "HTTP/1.1 2x0 OK": false,
	"HTTP/1.1 ": false, "HTTP/1.1": false,
}

// TestStatusLines checks which status lines are valid.
func TestStatusLines(t *testing.T) {
	for line, valid := range answers {
		var head scanner
		if _, err := head.scan([]byte(line + "\r\n")); (err == nil) != valid || err != nil && !errors.Is(err, ErrInvalidStatus) {
			t.Errorf("%q: %v, want valid %t", line, err, valid)
		}
	}
}

// TestHeaderThatBreaksOff checks that an answer without a whole line fails as the parser says.
func TestHeaderThatBreaksOff(t *testing.T) {
	for _, content := range []string{"", "HTTP/1.1 00", "\r\n\r\n", strings.Repeat("\r\n", 4096), "HTTP/1.1 200 OK\r\nA:"} {
		var header fasthttp.ResponseHeader
		if err := ReadFinal(bufio.NewReaderSize(strings.NewReader(content), 64), &header); err == nil || errors.Is(err, ErrInvalidStatus) {
			t.Errorf("%.20q: %v", content, err)
		}
	}
}

// answerInParts answers one request on a connection, a few bytes at a time.
func answerInParts(connection net.Conn, answer string, size int) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var request fasthttp.Request
	for request.Read(reader) == nil {
		for rest := answer; rest != ""; rest = rest[min(size, len(rest)):] {
			if _, err := io.WriteString(connection, rest[:min(size, len(rest))]); err != nil {
				return
			}
		}
	}
}

// askGuarded asks a server twice by a guarded client of the library, and checks that the answer, which arrives some bytes at a
// time, is taken only if it is valid.
func askGuarded(t *testing.T, answer string, size int, valid bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerInParts(connection, answer, size)
		}
	}()
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: func(address string) (net.Conn, error) {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return nil, err
		}
		return Guard(connection), nil
	}}
	defer client.CloseIdleConnections()
	for range 2 {
		_, body, err := client.GetTimeout(nil, "http://"+listener.Addr().String(), askTimeout)
		if (err == nil) != valid || valid && string(body) != "ok" || errors.Is(err, fasthttp.ErrTimeout) {
			t.Errorf("%q in parts of %d bytes: %q, %v, want valid %t", answer, size, body, err, valid)
		}
	}
}

const askTimeout = 10 * time.Second

// TestGuardedClientTakesNoStatusThatIsNone guards against a client of the library that takes an answer with status 000 for
// success, however its bytes arrive, and against a guard that breaks valid answers on a connection that is used again.
func TestGuardedClientTakesNoStatusThatIsNone(t *testing.T) {
	for line, valid := range answers {
		if strings.Contains(line, " 1") || strings.Contains(line, " 204") {
			continue // an interim answer, and one without a body
		}
		for _, size := range []int{1, 7, 1000} {
			askGuarded(t, line+"\r\nContent-Length: 2\r\n\r\nok", size, valid)
		}
	}
}

// TestGuardedClientTakesNoMalformedHead guards against a client of the library that takes an answer with a malformed head for
// success, or waits for a body whose length it has lost.
func TestGuardedClientTakesNoMalformedHead(t *testing.T) {
	for lines, valid := range heads {
		for _, size := range []int{1, 7, 1000} {
			askGuarded(t, "HTTP/1.1 200 OK\r\n"+lines+"Content-Length: 2\r\n\r\nok", size, valid)
			askGuarded(t, "HTTP/1.1 103 Early Hints\r\n"+lines+"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", size, valid)
		}
	}
	for _, line := range []string{"Content Length: 2", "Content-Length : 2", "Transfer Encoding: chunked"} {
		askGuarded(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\nok", 1000, false)
	}
}

// TestGuardedClientTakesNoMalformedTrailers guards against a client of the library that takes an answer with malformed trailers
// for success, and against a guard that takes chunks of a body for trailers.
func TestGuardedClientTakesNoMalformedTrailers(t *testing.T) {
	for lines, valid := range heads {
		for _, size := range []int{1, 7, 1000} {
			askGuarded(t, "HTTP/1.1 200 OK\r\ntransfer-Encoding: chunked\r\n\r\n01;a=\"b\"\r\no\r\n1\r\nk\r\n0\r\n"+lines+"\r\n", size, valid)
		}
	}
}

// TestChunks checks where trailers begin, whatever parts the chunks arrive in.
func TestChunks(t *testing.T) {
	for content, valid := range map[string]bool{
		"0\r\n": true, "000\r\n": true, "1\r\n\n\r\n0\r\n": true, "5\r\n0\r\n\r\n\r\n0\r\n": true, "aB\r\n" + strings.Repeat("x", 0xab) + "\r\n0\r\n": true,
		"1;a\r\nx\r\n0 ;b\r\n": true, "": false, "\r\n": false, "g\r\n": false, "-1\r\n": false, "0\n": false, "1\r\nxy": false, "1\r\nx\n": false, "0\r\r": false, "1;\n": false,
		"10000000000000000\r\n": false,
	} {
		for _, size := range []int{1, 3, 1000} {
			var chunks chunkScanner
			total, used := 0, 0
			var err error
			for rest := content + "X: 0"; rest != "" && err == nil && chunks.state != lastChunk; rest = rest[used:] {
				used, err = chunks.scan([]byte(rest[:min(size, len(rest))]))
				total += used
			}
			if valid && (err != nil || total != len(content) || chunks.state != lastChunk) || !valid && !errors.Is(err, ErrMalformed) {
				t.Errorf("%q in parts of %d bytes: %d bytes, %v, want valid %t", content, size, total, err, valid)
			}
		}
	}
}

// heads are the lines of heads behind the status line, and whether they are well-formed.
var heads = map[string]bool{
	"": true, "A: b\r\n": true, "a!#$%&'*+-.^_`|~9Z:\r\n": true, "A:\tb \t\r\n": true, "A: b:c \x80\xff\"(),/:;<=>?@[]{}\r\n": true,
	"A b: c\r\n": false, "A : b\r\n": false, "A\t: b\r\n": false, " A: b\r\n": false, "A: b\r\n c\r\n": false, "A: b\r\n\tc: d\r\n": false,
	"A\x00: b\r\n": false, "A\x01: b\r\n": false, "A\x7f: b\r\n": false, "A\x80: b\r\n": false, "A\"b: c\r\n": false, "A/b: c\r\n": false,
	": b\r\n": false, "A\r\n": false, "A\n": false, "A: b\n": false, "A: b\rc\r\n": false, "A: b\r\r\n": false, "\n": false, "\r\r\n": false,
	"A: 1234567\x00\r\n": false, "A: 123456789\x1f12345678\r\n": false, "A: 12345678\x7f12345678\r\n": false, "A: \x80\x80\x80\x80\x80\x80\x80\x01\r\n": false,
}

// TestHeads checks which heads are well-formed, whatever parts they arrive in.
func TestHeads(t *testing.T) {
	for lines, valid := range heads {
		content := "HTTP/1.1 200 OK\r\n" + lines + "\r\n"
		for _, size := range []int{1, 2, 7, 1000} {
			var head scanner
			var err error
			for rest := content; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
				_, err = head.scan([]byte(rest[:min(size, len(rest))]))
			}
			if valid && (err != nil || head.state != complete || head.status != 200) || !valid && !errors.Is(err, ErrMalformed) {
				t.Errorf("%q in parts of %d bytes: %v, status %d, want valid %t", content, size, err, head.status, valid)
			}
		}
	}
}

// TestTextPrefix checks that each byte that is no text is found at each place, whatever stands around it.
func TestTextPrefix(t *testing.T) {
	const length = 2*wordBytes + 3
	for _, around := range []byte{'x', ' ', '\t', 0x80, 0xff} {
		for each := range isText {
			for place := range length {
				data := bytes.Repeat([]byte{around}, length)
				data[place] = byte(each)
				want := length
				if !isText[each] {
					want = place
				}
				if got := textPrefix(data); got != want {
					t.Fatalf("%q: %d bytes of text, want %d", data, got, want)
				}
			}
		}
	}
}

// TestHeadEndsBeforeTheBody guards against bytes of a body that are checked as a part of the head.
func TestHeadEndsBeforeTheBody(t *testing.T) {
	head, body := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "\x00 \n\r\n\r\n"
	var scanned scanner
	if used, err := scanned.scan([]byte(head + body)); used != len(head) || err != nil || scanned.state != complete {
		t.Errorf("%d bytes, %v, want %d", used, err, len(head))
	}
	reader := bufio.NewReader(strings.NewReader(head + body))
	var header fasthttp.ResponseHeader
	if err := ReadFinal(reader, &header); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(reader); string(rest) != body || err != nil {
		t.Errorf("%q, %v, want %q", rest, err, body)
	}
}

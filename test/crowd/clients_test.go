package crowd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// actTimeout is how long a client tries to act on a connection, and the tests wait for all to have acted once: a
	// server may stop reading.
	actTimeout = 10 * time.Second
	// restInterval is the time between two reads of a client that has acted.
	restInterval = 200 * time.Millisecond
)

// crowd is a number of clients that each use one connection at a time.
type crowd struct {
	t       *testing.T
	address string
	count   int
	// act is what a client does on its connection, which stays open afterwards. An error is no failure of the
	// test: a client may be refused.
	act func(connection net.Conn, number int) error
	// again is true for clients that dial again once their connection is closed.
	again bool

	// succeeded counts the connections on which a client could do all that it wanted.
	succeeded atomic.Int64

	stopped chan struct{}
	acted   sync.WaitGroup
	running sync.WaitGroup
}

func newCrowd(t *testing.T, address string, count int, act func(net.Conn, int) error) *crowd {
	c := &crowd{t: t, address: address, count: count, act: act, stopped: make(chan struct{})}
	t.Cleanup(c.leave)
	return c
}

// arrive starts all clients and waits until each has acted once or had its time to.
func (c *crowd) arrive() {
	c.acted.Add(c.count)
	for number := range c.count {
		c.running.Go(func() { c.runClient(number) })
	}
	all := make(chan struct{})
	go func() {
		c.acted.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(actTimeout):
	}
}

// leave closes all connections. It may be called repeatedly.
func (c *crowd) leave() {
	select {
	case <-c.stopped:
	default:
		close(c.stopped)
	}
	c.running.Wait()
}

// log logs how many connections the crowd could use.
func (c *crowd) log() {
	c.t.Logf("%d clients acted as they wanted on %d connections", c.count, c.succeeded.Load())
}

func (c *crowd) runClient(number int) {
	acted := sync.OnceFunc(c.acted.Done)
	defer acted()
	for c.stays() {
		c.connect(number, acted)
		if !c.again {
			return
		}
		c.pause()
	}
}

func (c *crowd) stays() bool {
	select {
	case <-c.stopped:
		return false
	default:
		return true
	}
}

// pause waits before the next connection, so that clients that are refused do not use up the processor.
func (c *crowd) pause() {
	select {
	case <-c.stopped:
	case <-time.After(50 * time.Millisecond):
	}
}

// connect uses one connection until it is closed or the crowd leaves.
func (c *crowd) connect(number int, acted func()) {
	connection, err := net.DialTimeout("tcp", c.address, actTimeout)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	var closing sync.WaitGroup
	defer closing.Wait()
	defer close(ended)
	closing.Go(func() {
		select {
		case <-ended:
		case <-c.stopped:
		}
		_ = connection.Close() // what was sent does not matter any more
	})
	_ = connection.SetDeadline(time.Now().Add(actTimeout)) // the connection reports a failure
	err = c.act(connection, number)
	if err == nil {
		c.succeeded.Add(1)
	}
	acted()
	switch {
	case !c.again:
		<-c.stopped
	case err == nil:
		c.rest(connection)
	}
}

// rest stays on a connection until it is closed, and reads very slowly what comes.
func (c *crowd) rest(connection net.Conn) {
	_ = connection.SetDeadline(time.Time{}) // the connection reports a failure
	for received := make([]byte, 256); ; {
		if _, err := connection.Read(received); err != nil {
			return
		}
		select {
		case <-c.stopped:
			return
		case <-time.After(restInterval):
		}
	}
}

// head returns the head of a request with further header lines.
func head(number int, path, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nThorntiller-Request-Id: crowd-%d\r\n%s\r\n", path, host, number, lines)
}

// writeRepeated writes a block again and again until length bytes are written.
func writeRepeated(connection net.Conn, block []byte, length int) error {
	for length > 0 {
		count, err := connection.Write(block[:min(length, len(block))])
		if err != nil {
			return err
		}
		length -= count
	}
	return nil
}

// bodyShort sends a request with a length and its body except for the last byte.
func bodyShort(length int) func(net.Conn, int) error {
	return func(connection net.Conn, number int) error {
		if _, err := io.WriteString(connection, head(number, "/look/body", fmt.Sprintf("Content-Length: %d\r\n", length))); err != nil {
			return err
		}
		return writeRepeated(connection, padding, length-1)
	}
}

// bodyInPieces is like bodyShort, but pauses between pieces.
func bodyInPieces(length, pieces int) func(net.Conn, int) error {
	return func(connection net.Conn, number int) error {
		if _, err := io.WriteString(connection, head(number, "/look/body", fmt.Sprintf("Content-Length: %d\r\n", length))); err != nil {
			return err
		}
		for piece := range pieces {
			end := (piece + 1) * length / pieces
			if piece == pieces-1 {
				end--
			}
			if err := writeRepeated(connection, padding, end-piece*length/pieces); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

// chunkedShort sends a request with a body of length bytes in chunks of the given size, except for its last byte.
func chunkedShort(length, chunk int) func(net.Conn, int) error {
	encoded := append(fmt.Appendf(nil, "%x\r\n", chunk), make([]byte, chunk)...)
	encoded = append(encoded, "\r\n"...)
	chunks := length / chunk
	// Few writes for small chunks, too.
	block := bytes.Repeat(encoded, max(1, len(padding)/len(encoded)))
	return func(connection net.Conn, number int) error {
		if _, err := io.WriteString(connection, head(number, "/look/body", "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		return writeRepeated(connection, block, chunks*len(encoded)-len("\r\n")-1)
	}
}

// headWithoutEnd sends the head of a request up to a length, without its end.
func headWithoutEnd(length int) func(net.Conn, int) error {
	return func(connection net.Conn, number int) error {
		begin := strings.TrimSuffix(head(number, "/look/head", "X-Padding: "), "\r\n")
		_, err := io.WriteString(connection, begin+strings.Repeat("x", length-len(begin)))
		return err
	}
}

// largeHead sends a request with a head of length bytes and reads the answer.
func largeHead(length int) func(net.Conn, int) error {
	return func(connection net.Conn, number int) error {
		begin := strings.TrimSuffix(head(number, "/look/answer?bytes=100", "Content-Length: 0\r\nX-Padding: "), "\r\n")
		if _, err := io.WriteString(connection, begin+strings.Repeat("x", length-len(begin))+"\r\n\r\n"); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}

// slowReader asks for an answer of length bytes, reads a little of it slowly and then no more.
func slowReader(length int) func(net.Conn, int) error {
	const pieces, pieceBytes = 10, 256
	return func(connection net.Conn, number int) error {
		if err := connection.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			return err
		}
		request := head(number, fmt.Sprintf("/look/answer?bytes=%d", length), "Content-Length: 0\r\n")
		if _, err := io.WriteString(connection, request); err != nil {
			return err
		}
		reader := bufio.NewReaderSize(connection, pieceBytes)
		status, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		if !strings.Contains(status, " 200 ") {
			return errors.New("refused: " + status)
		}
		for range pieces {
			if _, err := io.ReadFull(reader, make([]byte, pieceBytes)); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

// errLeft ends a connection by its client.
var errLeft = errors.New("the client closes its connection")

// announced sends the head of a request with the given lines and the begin of its body, and closes the connection later.
func announced(lines, begin string) func(net.Conn, int) error {
	return func(connection net.Conn, number int) error {
		if _, err := io.WriteString(connection, head(number, "/look/body", lines)+begin); err != nil {
			return err
		}
		time.Sleep(restInterval)
		return errLeft
	}
}

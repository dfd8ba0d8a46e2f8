// Package slowpath delays the bytes of connections, as a queue on a link or a starved process does: in order and
// without loss.
package slowpath

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the bytes that are read at once, and queueLength the reads that wait for their time.
	bufferBytes = 16 << 10
	queueLength = 4096
)

// Path forwards the connections that it accepts to one address, and delays the bytes of both directions by the same
// time. It is safe for concurrent use.
type Path struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
}

// Listen returns a path to an address that accepts connections on the loopback interface until it is closed.
func Listen(target string) (*Path, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	path := &Path{listener: listener, target: target}
	go path.accept()
	return path, nil
}

// Address returns the address, IP:port, that accepts connections.
func (p *Path) Address() string { return p.listener.Addr().String() }

// SetDelay sets the delay in each direction of bytes that arrive from now on.
func (p *Path) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// Close stops to accept connections. Those that are open end with their two sides.
func (p *Path) Close() error { return p.listener.Close() }

func (p *Path) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close() // the caller sees that the target refused
			continue
		}
		go p.forward(near, far)
		go p.forward(far, near)
	}
}

// delayed are bytes to be delivered at a time; nil marks the end of the connection.
type delayed struct {
	bytes []byte
	at    time.Time
}

// forward forwards the bytes of one direction, and then its end.
func (p *Path) forward(from, to net.Conn) {
	queue := make(chan delayed, queueLength)
	go p.read(from, queue)
	for next := range queue {
		time.Sleep(time.Until(next.at))
		_, _ = to.Write(next.bytes) // the receiver may have closed the connection
	}
	_ = to.Close()
}

func (p *Path) read(from net.Conn, queue chan<- delayed) {
	defer close(queue)
	for {
		buffer := make([]byte, bufferBytes)
		count, err := from.Read(buffer)
		queue <- delayed{bytes: buffer[:count], at: time.Now().Add(time.Duration(p.delay.Load()))}
		if err != nil {
			return
		}
	}
}

// Package slowpath delays the bytes of connections, as a queue on a link or a starved process does, or holds them back, as
// a link that is cut for a while: in order and without loss.
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
	// silencePoll is the time between two looks whether the path is still silent.
	silencePoll = 5 * time.Millisecond
)

// Path forwards the connections that it accepts to one address, and delays the bytes of each direction. It is safe for
// concurrent use.
type Path struct {
	listener net.Listener
	target   string
	// there and back are the delays towards the target and from it, in nanoseconds.
	there, back atomic.Int64
	silent      atomic.Bool
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
func (p *Path) SetDelay(delay time.Duration) { p.SetDelays(delay, delay) }

// SetDelays sets the delays towards the target and from it, of bytes that arrive from now on.
func (p *Path) SetDelays(there, back time.Duration) {
	p.there.Store(int64(there))
	p.back.Store(int64(back))
}

// SetSilent holds all bytes back, with the ends of connections, until it is called with false.
func (p *Path) SetSilent(silent bool) { p.silent.Store(silent) }

// Close stops to accept connections, and ends a silence. Connections that are open end with their two sides.
func (p *Path) Close() error {
	p.SetSilent(false)
	return p.listener.Close()
}

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
		go p.forward(near, far, &p.there)
		go p.forward(far, near, &p.back)
	}
}

// delayed are bytes to be delivered at a time; nil marks the end of the connection.
type delayed struct {
	bytes []byte
	at    time.Time
}

// forward forwards the bytes of one direction, and then its end.
func (p *Path) forward(from, to net.Conn, delay *atomic.Int64) {
	queue := make(chan delayed, queueLength)
	go read(from, queue, delay)
	for next := range queue {
		time.Sleep(time.Until(next.at))
		for p.silent.Load() {
			time.Sleep(silencePoll)
		}
		_, _ = to.Write(next.bytes) // the receiver may have closed the connection
	}
	for p.silent.Load() {
		time.Sleep(silencePoll)
	}
	_ = to.Close()
}

func read(from net.Conn, queue chan<- delayed, delay *atomic.Int64) {
	defer close(queue)
	for {
		buffer := make([]byte, bufferBytes)
		count, err := from.Read(buffer)
		queue <- delayed{bytes: buffer[:count], at: time.Now().Add(time.Duration(delay.Load()))}
		if err != nil {
			return
		}
	}
}

package network

import "time"

// retransmission is how often a stalled pipe tries again.
const retransmission = 40 * time.Millisecond

// maxPipeFrames bounds the frames that wait in one pipe. A pipe that is full
// closes, as a sender with a write timeout would close it.
const maxPipeFrames = 4096

// Pipe is one direction of a connection: frames arrive once and in order.
type Pipe struct {
	network  *Network
	from, to Node
	frames   []func()
	moving   bool
	closed   bool
}

// NewPipe returns an open pipe.
func (n *Network) NewPipe(from, to Node) *Pipe {
	return &Pipe{network: n, from: from, to: to}
}

// Send queues a frame.
func (p *Pipe) Send(deliver func()) {
	if p.closed {
		return
	}
	if len(p.frames) >= maxPipeFrames {
		p.Close()
		return
	}
	p.frames = append(p.frames, deliver)
	p.move(p.network.delay())
}

// Close drops the frames on their way.
func (p *Pipe) Close() {
	p.closed = true
	p.frames = nil
}

// Closed reports whether the pipe was closed.
func (p *Pipe) Closed() bool { return p.closed }

func (p *Pipe) move(delay time.Duration) {
	if p.moving || len(p.frames) == 0 {
		return
	}
	p.moving = true
	p.network.queue.After(delay, p.arrive)
}

func (p *Pipe) arrive() {
	p.moving = false
	if p.closed {
		return
	}
	if p.network.isCut(p.from, p.to) || p.network.chance(p.network.conditions.Loss) {
		p.move(retransmission)
		return
	}
	arrived := p.frames
	p.frames = nil
	for _, deliver := range arrived {
		if !p.closed {
			deliver()
		}
	}
	p.move(p.network.delay())
}

package network

import (
	"math/rand/v2"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/sim/event"
)

// Node names one machine.
type Node string

// Conditions describe how the network treats datagrams. Chances are 0 to 1.
type Conditions struct {
	Loss      float64
	Duplicate float64
	// Slow is the chance of a delay of up to SlowDelay in place of the usual.
	Slow      float64
	SlowDelay time.Duration
	// MinDelay and MaxDelay bound the usual one-way delay.
	MinDelay time.Duration
	MaxDelay time.Duration
}

// Calm returns the conditions of a network without faults: the delays between
// zones of one region.
func Calm() Conditions {
	return Conditions{MinDelay: 200 * time.Microsecond, MaxDelay: 1500 * time.Microsecond}
}

type link struct{ from, to Node }

// Connection is one of the connections from a node to another.
type Connection struct {
	From, To Node
	Number   int
}

// Network connects nodes.
type Network struct {
	queue      *event.Queue
	random     *rand.Rand
	conditions Conditions
	cuts       map[link]bool
	// stalled says until when nothing that is sent on a connection arrives.
	stalled map[Connection]time.Duration
}

// New returns a calm network.
func New(queue *event.Queue, random *rand.Rand) *Network {
	return &Network{queue: queue, random: random, conditions: Calm(), cuts: make(map[link]bool), stalled: make(map[Connection]time.Duration)}
}

// Set changes the conditions for datagrams that are sent from now on.
func (n *Network) Set(conditions Conditions) { n.conditions = conditions }

// Cut drops in silence what goes from one node to another.
func (n *Network) Cut(from, to Node) { n.cuts[link{from, to}] = true }

// Heal undoes Cut.
func (n *Network) Heal(from, to Node) { delete(n.cuts, link{from, to}) }

// HealAll undoes every cut and calms the network.
func (n *Network) HealAll() {
	clear(n.cuts)
	n.conditions = Calm()
}

func (n *Network) isCut(from, to Node) bool { return n.cuts[link{from, to}] }

// Stall holds up for a duration what is sent on a connection, as while a lost packet is sent again.
func (n *Network) Stall(connection Connection, duration time.Duration) {
	n.stalled[connection] = n.queue.Now() + duration
}

// SendOn carries a datagram as Send does, once the connection is stalled no longer.
func (n *Network) SendOn(connection Connection, deliver func()) {
	send := func() { n.Send(connection.From, connection.To, deliver) }
	if wait := n.stalled[connection] - n.queue.Now(); wait > 0 {
		n.queue.After(wait, send)
		return
	}
	send()
}

// Send carries a datagram, which may be duplicated.
func (n *Network) Send(from, to Node, deliver func()) {
	n.SendOnce(from, to, deliver)
	if n.chance(n.conditions.Duplicate) {
		n.SendOnce(from, to, deliver)
	}
}

// SendOnce carries a datagram at most once.
func (n *Network) SendOnce(from, to Node, deliver func()) {
	if n.isCut(from, to) || n.chance(n.conditions.Loss) {
		return
	}
	n.queue.After(n.delay(), func() {
		if !n.isCut(from, to) {
			deliver()
		}
	})
}

func (n *Network) chance(share float64) bool {
	return share > 0 && n.random.Float64() < share
}

func (n *Network) delay() time.Duration {
	if n.chance(n.conditions.Slow) {
		return n.between(n.conditions.MaxDelay, n.conditions.SlowDelay)
	}
	return n.between(n.conditions.MinDelay, n.conditions.MaxDelay)
}

func (n *Network) between(lowest, highest time.Duration) time.Duration {
	if highest <= lowest {
		return lowest
	}
	return lowest + time.Duration(n.random.Int64N(int64(highest-lowest)))
}

// Reaches reports whether nothing is cut between two nodes, in both directions.
func (n *Network) Reaches(one, other Node) bool {
	return !n.isCut(one, other) && !n.isCut(other, one)
}

package sim

import (
	"errors"
	"time"

	"github.com/thorntiller/thorntiller/internal/checkedfile"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/vfs"
	"github.com/thorntiller/thorntiller/internal/wal"
)

const (
	dataFolder = "/data"
	// restartDelay is how long after its end a process is started again.
	restartDelay = 150 * time.Millisecond
)

// controller is one control machine and the process on it.
type controller struct {
	*process
	disk *vfs.Memory
	// files is the disk as the process sees it.
	files vfs.FileSystem
	// slowSyncs is how many of the next syncs take syncTakes.
	slowSyncs int
	syncTakes time.Duration
	self      identity.Identity
	replica   *replica
	// promise is what the replica of this identity told others.
	promise checker.Promise
	// known is the newest membership that a replica of this machine applied.
	known     knownMembership
	formation formation
	// forgotten is the identifier that a lost disk held.
	forgotten identity.Identity
}

// knownMembership is a committed membership and the log index up to which it was
// applied.
type knownMembership struct {
	index   uint64
	members consensus.Membership
}

// note keeps the newer one. A replica that starts again applies its log anew.
func (k *knownMembership) note(status consensus.Status) {
	if status.Applied >= k.index {
		*k = knownMembership{index: status.Applied, members: status.AppliedMembership}
	}
}

func (c *controller) name() string { return string(c.node) }

func (c *controller) member() consensus.Member {
	return consensus.Member{ID: c.self.Replica, Name: c.name(), Address: c.name(), APIAddress: c.name()}
}

// start starts the process on what the disk holds.
func (c *controller) start() {
	c.begin()
	self, err := durable.LoadIdentity(c.files, dataFolder, false, c.drawIdentifier)
	if err != nil {
		c.failed(err)
		return
	}
	if self.Replica != c.promise.Identifier {
		c.promise = checker.Promise{Replica: c.name(), Identifier: self.Replica}
	}
	c.self = self
	c.sim.hosts[self.Replica] = c
	c.formation = formation{controller: c}
	c.every(formationInterval, c.formation.tick)
	if self.Cluster != "" {
		c.startReplica()
	}
}

func (c *controller) drawIdentifier() consensus.ReplicaID {
	if c.sim.planted.reuseIdentity && c.forgotten.Replica != 0 {
		return c.forgotten.Replica
	}
	return consensus.ReplicaID(c.sim.random.Uint64() | 1<<63)
}

func (c *controller) startReplica() {
	disk, err := durable.Open(c.files, dataFolder, c.self, durable.Options{SegmentBytes: segmentBytes})
	if err != nil {
		c.failed(err)
		return
	}
	c.checkRecovered(disk)
	c.replica, err = newReplica(c, disk)
	if err != nil {
		c.failed(err)
		return
	}
	delete(c.sim.damaged, c.name())
	c.known.note(c.replica.core.Status())
	c.sim.trace("%s starts replica %s at snapshot %d with %d entries", c.node, shortID(c.self.Replica),
		disk.Initial.Snapshot.Index, len(disk.Initial.Entries))
	c.every(c.sim.settings.Platform.PollInterval, func() { c.step(func() { c.replica.readPlatform() }) })
	c.every(c.sim.settings.Consensus.TickInterval, func() { c.step(func() { c.replica.driver.Tick() }) })
	if c.replica.leases != nil {
		c.every(keeperTick, func() { c.step(func() { c.replica.leases.tick() }) })
	}
}

func (c *controller) checkRecovered(disk *durable.Storage) {
	last := disk.Initial.Snapshot.Index + uint64(len(disk.Initial.Entries))
	c.sim.checker.Recovered(c.promise, checker.Promise{
		Term: disk.Initial.HardState.Term, Vote: uint64(disk.Initial.HardState.Vote), Index: last,
	})
}

// step runs one input of the replica and then carries out what it asks for.
func (c *controller) step(input func()) {
	if c.replica == nil {
		return
	}
	input()
	if err := c.replica.handleReady(); err != nil {
		c.failed(err)
		return
	}
	c.replica.observeRole()
}

// failed ends a process whose disk failed. One that cannot read its files gets
// an empty disk, as the error tells the operator.
func (c *controller) failed(err error) {
	var logDamage *wal.DamageError
	var fileDamage *checkedfile.DamageError
	switch {
	case errors.Is(err, vfs.ErrCrashed):
		c.crash()
	case errors.As(err, &logDamage), errors.As(err, &fileDamage):
		c.sim.counts.RefusedStarts++
		c.sim.trace("%s refuses to start: %v", c.node, err)
		if !c.sim.damaged[c.name()] {
			c.sim.checker.Fail(checker.NoFailure, "%s cannot read files that nobody damaged: %v", c.node, err)
		}
		c.loseDisk()
	default:
		c.sim.checker.Fail(checker.NoFailure, "%s fails: %v", c.node, err)
		c.crash()
	}
}

// crash ends the process as a power failure does, and starts it again later.
func (c *controller) crash() { c.crashFor(restartDelay) }

func (c *controller) crashFor(absence time.Duration) {
	c.sim.trace("%s crashes", c.node)
	c.stop()
	c.disk.Crash()
	c.startLater(absence)
}

// loseDisk replaces the machine by one with an empty disk.
func (c *controller) loseDisk() {
	c.sim.trace("%s loses its disk, replica %s", c.node, shortID(c.self.Replica))
	c.forgotten = c.self
	delete(c.sim.damaged, c.name())
	c.sim.lost[c.self.Replica] = true
	c.stop()
	c.disk.LoseDisk()
	c.startLater(restartDelay)
}

func (c *controller) stop() {
	c.end()
	c.replica = nil
}

func (c *controller) startLater(delay time.Duration) {
	generation := c.generation
	c.sim.queue.After(delay, func() {
		if c.generation == generation && !c.alive {
			c.start()
		}
	})
}

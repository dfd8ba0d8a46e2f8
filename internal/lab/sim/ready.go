package sim

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/state"
)

// handleReady carries out what the core asks for after an input.
func (r *replica) handleReady() error {
	if err := r.driver.HandleReady(); err != nil {
		return err
	}
	if r.saved == nil {
		return nil
	}
	return r.driver.AdoptSnapshot(r.host.AwaitSnapshot())
}

// consensusMessage takes a message that is meant for this replica.
func (c *controller) consensusMessage(incoming consensus.Message) {
	if c.replica == nil || incoming.To != c.self.Replica {
		return
	}
	incoming.Entries = slices.Clone(incoming.Entries)
	c.step(func() {
		if err := c.replica.core.Step(incoming); eris.Is(err, consensus.ErrLogLost) {
			c.sim.checker.Fail(checker.Durability, "%s lost part of its log: %v", c.node, err)
		}
	})
}

// readRevision asks for a confirmed revision.
func (r *replica) readRevision(done driver.ReadFunc) {
	asked := r.sim.queue.Now()
	r.driver.Read(func(revision state.Revision) {
		r.sim.checker.Read(r.owner.name(), asked, revision)
		done(revision)
	})
}

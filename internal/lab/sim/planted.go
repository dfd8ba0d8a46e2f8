package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// planted are faults of the product that tests plant, to prove that a checker
// finds them.
type planted struct {
	// ignoreLeaseEnd: servers go on serving after their lease ended.
	ignoreLeaseEnd bool
	// coordinator changes the coordinator's settings.
	coordinator func(*coordinator.Config)
	// assumeQuorum: rounds of the coordinator count as confirmed at once.
	assumeQuorum bool
	// files wraps the disk that a controller sees.
	files func(vfs.FileSystem) vfs.FileSystem
	// forgetVote: the term and the vote are not written to the log.
	forgetVote bool
	// reuseIdentity: a replaced machine acts under the identity it had.
	reuseIdentity bool
	// skipDigest: routers take a delta's revision without its content.
	skipDigest bool
	// deafRouters: routers ignore what changes once they hold a table.
	deafRouters bool
	// overstate changes the time before its election that a new leader takes as
	// free of quorum rounds.
	overstate func(time.Duration) time.Duration
	// forgetPlans: replicas forget plans once an operator was told of them.
	forgetPlans bool
	// forgetAttempts: servers promise that each cancelled attempt never started.
	forgetAttempts bool
	// repeatAll: routers take each request for one that may be repeated.
	repeatAll bool
	// claimNotRun: routers answer that a request of unknown outcome did not run.
	claimNotRun bool
	// trustOldTable: routers count their table as current for ever.
	trustOldTable bool
	// ignoreLeaving: routers send requests to servers that leave.
	ignoreLeaving bool
	// longQueues: routers let any number of requests wait for a server.
	longQueues bool
	// freeResends: resends cost nothing.
	freeResends bool
	// lateAnswers: a final answer goes out after a back-off.
	lateAnswers bool
	// uncheckedSends: routers send what they decided on however long ago that was.
	uncheckedSends bool
	// oneConnection: controllers send all messages by one connection.
	oneConnection bool
	// steadyClocks: machines of these roles read a clock that stands still while they
	// are suspended.
	steadyClocks []machineRole
}

// notedLog notes what the replica saved, which it may tell others from then on.
// Planted to forget, it leaves the term and the vote unwritten.
type notedLog struct {
	driver.Log
	promise *checker.Promise
	forgets bool
}

func (l notedLog) Save(hardState *consensus.HardState, entries []consensus.Entry) error {
	saved := hardState
	if l.forgets {
		saved = nil
	}
	if err := l.Log.Save(saved, entries); err != nil {
		return err
	}
	if hardState != nil {
		l.promise.Note(hardState.Term, uint64(hardState.Vote))
	}
	return nil
}

// observedCore is the consensus core as the driver sees it. It notes the
// coordinator's quorum rounds, and bears what is planted in the core.
type observedCore struct {
	*consensus.Core
	replica *replica
}

func (c observedCore) Status() consensus.Status {
	status := c.Core.Status()
	if overstate := c.replica.sim.planted.overstate; overstate != nil {
		status.QuietBeforeElection = overstate(status.QuietBeforeElection)
	}
	return status
}

// ReadIndex notes when a round of the coordinator begins. Planted to assume a
// quorum, it confirms the round at once.
func (c observedCore) ReadIndex(context uint64) error {
	round, coordinators := driver.CoordinatorRound(context)
	if !coordinators {
		return c.Core.ReadIndex(context)
	}
	r := c.replica
	if r.sim.planted.assumeQuorum {
		r.coordinator.RoundConfirmed(r.host.Now(), round)
		return nil
	}
	r.round, r.roundBegan = round, r.sim.queue.Now()
	return c.Core.ReadIndex(context)
}

// Advance notes the rounds that the driver passes on to the coordinator next,
// which goes by the newest alone.
func (c observedCore) Advance(ready consensus.Ready) {
	c.Core.Advance(ready)
	r := c.replica
	for _, confirmation := range ready.ReadStates {
		round, coordinators := driver.CoordinatorRound(confirmation.Context)
		if coordinators && r.driver.Leading() && round == r.round {
			r.sim.checker.RoundConfirmed(r.term, r.roundBegan)
		}
	}
}

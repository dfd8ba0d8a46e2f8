package sim

import (
	"fmt"
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/lab/lease"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/state"
)

// server is a back end: the published lease rules around nothing.
type server struct {
	*process
	id          state.ServerID
	starts      int
	incarnation string
	holder      *lease.Holder
	// version is the newest assignment set that the process was given.
	version uint64
}

func (s *server) start() {
	s.begin()
	s.starts++
	s.incarnation = fmt.Sprintf("%s#%d", s.id, s.starts)
	s.holder = lease.NewHolder(string(s.id), s.incarnation, s.now())
	s.version = 0
}

func (s *server) crash() {
	s.sim.trace("%s crashes", s.node)
	s.end()
	s.sim.checker.Died(s.incarnation)
}

// leaseMessage takes a lease message and returns the answer.
func (s *server) leaseMessage(request backendapi.LeaseRequest) backendapi.LeaseAnswer {
	answer := s.holder.HandleLease(s.now(), request)
	if answer.Accepted && answer.Version > s.version {
		s.version = answer.Version
		s.sim.checker.Acknowledged(answer.Version, "the assignments of "+s.incarnation)
		s.sim.trace("%s holds version %d of session %d: %d shards", s.node, answer.Version, answer.Session, len(s.holder.Assignments()))
	}
	s.observe()
	return answer
}

// observe tells the checker what the process may serve from now on, by its own
// clock.
func (s *server) observe() {
	holding := checker.Holding{
		Incarnation: s.incarnation, Service: serviceName, Session: s.holder.Session(), LeaseEnd: s.leaseEnd(),
	}
	if !s.holder.Draining() && s.holder.Session() != 0 {
		for _, held := range s.holder.Assignments() {
			holding.Ranges = append(holding.Ranges, checker.HeldRange{
				Shard: held.Shard, Epoch: held.Epoch, First: held.First, Last: held.Last,
			})
		}
	}
	s.sim.checker.Holds(holding)
}

// leaseEnd returns when the process's lease ends, in true time.
func (s *server) leaseEnd() time.Duration {
	if s.sim.planted.ignoreLeaseEnd && s.holder.LeaseEnd() > 0 {
		return math.MaxInt64
	}
	return s.trueTime(s.holder.LeaseEnd())
}

// execute runs a request if the holder allows it at this moment.
func (s *server) execute(call request) {
	reading := s.now()
	if s.sim.planted.ignoreLeaseEnd {
		reading = min(reading, s.holder.LeaseEnd()-1)
	}
	if refusal := s.holder.Check(reading, call.shard, call.epoch, call.hash); refusal != "" {
		s.sim.counts.Refusals++
		return
	}
	run := s.holder.Begin(call.shard, call.hash)
	s.sim.checker.Begins(checker.Execution{
		Request: call.number, Incarnation: s.incarnation, Session: s.holder.Session(),
		Key: call.key, Epoch: call.epoch, LeaseEnd: s.leaseEnd(),
	})
	s.after(call.duration, func() {
		s.holder.End(run)
		s.sim.checker.Ends(call.number)
	})
}

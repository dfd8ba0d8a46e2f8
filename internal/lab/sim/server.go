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

// server is a back end: the published lease rules around a modelled request
// path.
type server struct {
	*process
	id          state.ServerID
	starts      int
	incarnation string
	holder      *lease.Holder
	// version is the newest assignment set that the process was given.
	version uint64
	// started is the first clock reading of the process.
	started time.Duration
	path    requestPath
	// misleads is true while the reports of load and health are wrong.
	misleads bool
}

func (s *server) start() {
	s.begin()
	s.starts++
	s.incarnation = fmt.Sprintf("%s#%d", s.id, s.starts)
	s.holder = lease.NewHolder(string(s.id), s.incarnation, s.now())
	s.version = 0
	s.started = s.now()
	s.path = requestPath{attempts: make(map[uint64]*attempt)}
}

func (s *server) crash() {
	s.sim.trace("%s crashes", s.node)
	s.end()
	s.resetConnections()
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

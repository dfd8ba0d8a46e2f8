package sim

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/lease"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
)

// Shape of a back end's request path.
const (
	serverSlots = 2
	// serverQueue bounds the requests that wait for a slot, shedAbove is from how
	// many on some servers shed load.
	serverQueue = 3
	shedAbove   = 2
	// coldPeriod is how long a new process is slow, by coldFactor.
	coldPeriod = 500 * time.Millisecond
	coldFactor = 3
)

// attemptState is what a back end knows of an attempt.
type attemptState int

const (
	attemptWaiting attemptState = iota
	attemptRunning
	attemptFinished
	attemptCancelled
)

// attempt is one attempt on its connection to a back end process.
type attempt struct {
	number, request uint64
	keyed           bool
	key             string
	hash            uint64
	shard, epoch    uint64
	// timeout is the time that the router leaves the back end.
	timeout  time.Duration
	duration time.Duration
	// generation is the life of the process that the connection leads to.
	generation int
	// from is the router, and caller the life of its process.
	from   *router
	caller int
	// take gives a reply to the router.
	take func(reply)

	// State at the back end.
	state    attemptState
	deadline time.Duration
	run      lease.RunID
}

// reply is what comes back of an attempt; nil failure means the whole answer.
type reply struct {
	// withdrawn is why the attempt was not sent; nil if it was.
	withdrawn *fault.Error
	failure   *fault.Error
	load      bool
	running   int
	queued    int
}

// refusedKinds are the kinds of the refusals of a back end.
var refusedKinds = map[backendapi.Refusal]fault.Kind{
	backendapi.RefusalWrongEpoch: fault.WrongEpoch, backendapi.RefusalLeaseExpired: fault.LeaseExpired,
	backendapi.RefusalDraining: fault.Draining, backendapi.RefusalShedding: fault.Shedding,
	backendapi.RefusalQueueFull: fault.QueueFull, backendapi.RefusalDeadline: fault.DeadlineBeforeStart,
	backendapi.RefusalCancelled: fault.CancelledBeforeStart,
}

// requestPath is what one back end process does with requests.
type requestPath struct {
	attempts map[uint64]*attempt
	queue    []*attempt
	running  []*attempt
}

// arrive takes a request that came over a connection.
func (s *server) arrive(call *attempt) {
	call.deadline = s.now() + call.timeout
	if refusal := s.admit(call); refusal != "" {
		s.refuse(call, refusal)
		return
	}
	s.path.attempts[call.number] = call
	s.path.queue = append(s.path.queue, call)
	s.startNext()
}

func (s *server) admit(call *attempt) backendapi.Refusal {
	if refusal := s.check(call); refusal != "" {
		return refusal
	}
	sheds := s.starts%2 == 0
	if sheds && len(s.path.queue) >= shedAbove {
		return backendapi.RefusalShedding
	}
	if _, cancelled := s.path.attempts[call.number]; cancelled {
		return backendapi.RefusalCancelled
	}
	if len(s.path.queue) >= serverQueue {
		return backendapi.RefusalQueueFull
	}
	return ""
}

// check is what execution rests on.
func (s *server) check(call *attempt) backendapi.Refusal {
	reading := s.now()
	if reading >= call.deadline {
		return backendapi.RefusalDeadline
	}
	if s.sim.planted.ignoreLeaseEnd {
		reading = min(reading, s.holder.LeaseEnd()-1)
	}
	if !call.keyed {
		return s.holder.CheckUnkeyed(reading)
	}
	return s.holder.Check(reading, call.shard, call.epoch, call.hash)
}

// startNext fills the slots, each request with a check at its start.
func (s *server) startNext() {
	for len(s.path.running) < serverSlots && len(s.path.queue) > 0 {
		next := s.path.queue[0]
		s.path.queue = s.path.queue[1:]
		if refusal := s.check(next); refusal != "" {
			delete(s.path.attempts, next.number)
			s.refuse(next, refusal)
			continue
		}
		s.execute(next)
	}
}

// execute runs a request; the check has just allowed it.
func (s *server) execute(call *attempt) {
	call.state = attemptRunning
	s.path.running = append(s.path.running, call)
	s.sim.checker.AttemptRuns(call.request)
	if call.keyed {
		call.run = s.holder.Begin(call.shard, call.hash)
		s.sim.checker.Begins(checker.Execution{
			Request: call.number, Incarnation: s.incarnation, Session: s.holder.Session(),
			Key: call.key, Epoch: call.epoch, LeaseEnd: s.leaseEnd(),
		})
	} else {
		call.run = s.holder.BeginUnkeyed()
	}
	duration := call.duration
	if s.now()-s.started < coldPeriod {
		duration *= coldFactor
	}
	if s.sim.operating && s.sim.chance(connectionCutShare) {
		s.sim.counts.ConnectionsCut++
		s.after(duration/2, func() { s.answer(call, connectionLost()) })
	}
	s.after(duration, func() { s.finish(call) })
}

func (s *server) finish(call *attempt) {
	s.holder.End(call.run)
	if call.keyed {
		s.sim.checker.Ends(call.number)
	}
	call.state = attemptFinished
	s.path.running = slices.DeleteFunc(s.path.running, func(known *attempt) bool { return known == call })
	var failure *fault.Error
	if s.sim.operating && s.sim.chance(answerCutShare) {
		s.sim.counts.AnswersCut++
		failure = fault.New(fault.AnswerTruncated, "the answer was cut")
	}
	s.answer(call, failure)
	s.startNext()
}

func connectionLost() *fault.Error {
	return fault.New(fault.ConnectionLost, "the connection broke before an answer came")
}

func (s *server) refuse(call *attempt, refusal backendapi.Refusal) {
	s.sim.counts.Refusals++
	s.answer(call, fault.Newf(refusedKinds[refusal], "the back end refused: %s", refusal))
}

// answer sends a reply with a report of the load, which may be a lie.
func (s *server) answer(call *attempt, failure *fault.Error) {
	back := reply{failure: failure, load: true, running: len(s.path.running), queued: len(s.path.queue)}
	if s.misleads {
		back.running, back.queued = serverSlots-back.running, serverQueue-back.queued
	}
	s.outgoing(func() {
		s.sim.network.SendOnce(s.node, call.from.node, func() {
			call.from.enter(call.caller, func() { call.take(back) })
		})
	})
}

// cancel gives an attempt up and reports whether the process can promise that
// it never started and never will. A process that started again knows nothing
// of what the one before it ran.
func (s *server) cancel(number uint64) bool {
	known, found := s.path.attempts[number]
	switch {
	case s.sim.planted.forgetAttempts:
		return true
	case !found && s.starts > 1:
		return false
	case !found:
		s.path.attempts[number] = &attempt{number: number, state: attemptCancelled}
		return true
	case known.state == attemptWaiting:
		known.state = attemptCancelled
		s.path.queue = slices.DeleteFunc(s.path.queue, func(waiting *attempt) bool { return waiting == known })
		return true
	default:
		return known.state == attemptCancelled
	}
}

// resetConnections tells routers that the process is gone, as its kernel does.
func (s *server) resetConnections() {
	for _, call := range append(slices.Clone(s.path.queue), s.path.running...) {
		s.reset(call)
	}
	s.path = requestPath{}
}

// reset breaks one connection.
func (s *server) reset(call *attempt) {
	s.sim.network.SendOnce(s.node, call.from.node, func() {
		call.from.enter(call.caller, func() { call.take(reply{failure: connectionLost()}) })
	})
}

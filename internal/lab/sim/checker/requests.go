package checker

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/state"
)

// RequestBounds are what routers promise about requests.
type RequestBounds struct {
	// Queue bounds the requests of one router that wait for one server, Running
	// those that it has sent there, and Total those in flight for one service.
	Queue, Running, Total int
	// Burst and Ratio bound resends: Burst + Ratio × fresh requests.
	Burst, Ratio float64
	// Staleness is the greatest age of a table that requests follow.
	Staleness time.Duration
}

// RouterLife names one router process.
type RouterLife struct {
	Router string
	Start  int
}

// RequestStart is a caller's request that a router took in.
type RequestStart struct {
	Number     uint64
	Life       RouterLife
	Service    state.ServiceName
	Repeatable bool
}

// AttemptStart is one attempt at the moment at which a router sends it.
type AttemptStart struct {
	Request uint64
	Server  state.ServerID
	Shard   state.ShardID
	Epoch   state.Epoch
	// Table is the revision of the table that the router goes by.
	Table state.Revision
}

// requestRecord is what was seen of one request.
type requestRecord struct {
	RequestStart
	attempts int
	last     AttemptStart
	lastKind fault.Kind
	lastEnd  time.Duration
	sent     bool
	runs     int
	// finalAt is when nothing was left to do but to answer.
	final   bool
	finalAt time.Duration
	notRun  bool
}

// lifeService names what one retry budget is for.
type lifeService struct {
	life    RouterLife
	service state.ServiceName
}

// lifeServer names what one queue is for.
type lifeServer struct {
	life   RouterLife
	server state.ServerID
}

type budgetUse struct{ fresh, resends, inFlight int }

type requestChecker struct {
	bounds   RequestBounds
	requests map[uint64]*requestRecord
	budgets  map[lifeService]*budgetUse
	running  map[lifeServer]int
	// answered has when a server last answered a router without a refusal.
	answered map[lifeServer]time.Duration
	// leaving has when each server that takes no new work was first known to
	// leave.
	leaving map[state.ServerID]time.Duration
}

func newRequestChecker() requestChecker {
	return requestChecker{
		requests: make(map[uint64]*requestRecord), budgets: make(map[lifeService]*budgetUse),
		running: make(map[lifeServer]int), answered: make(map[lifeServer]time.Duration), leaving: make(map[state.ServerID]time.Duration),
	}
}

// BoundRequests sets what routers promise.
func (c *Checker) BoundRequests(bounds RequestBounds) { c.requests.bounds = bounds }

// RequestBegins records that a router took a request in.
func (c *Checker) RequestBegins(start RequestStart) {
	c.counts.Requests++
	c.requests.requests[start.Number] = &requestRecord{RequestStart: start}
	use := c.budget(start)
	use.fresh++
	use.inFlight++
	if use.inFlight > c.requests.bounds.Total {
		c.Fail(BoundedQueue, "%v has %d requests of %s in flight, the bound is %d",
			start.Life, use.inFlight, start.Service, c.requests.bounds.Total)
	}
}

func (c *Checker) budget(start RequestStart) *budgetUse {
	of := lifeService{start.Life, start.Service}
	use, found := c.requests.budgets[of]
	if !found {
		use = &budgetUse{}
		c.requests.budgets[of] = use
	}
	return use
}

// Waits records how many requests of a router wait for a server.
func (c *Checker) Waits(life RouterLife, server state.ServerID, waiting int) {
	if waiting > c.requests.bounds.Queue {
		c.Fail(BoundedQueue, "%d requests of %v wait for %s, the bound is %d", waiting, life, server, c.requests.bounds.Queue)
	}
}

// AttemptBegins records that a router sends an attempt. Each rests on a table
// that was current not long ago, and none goes to a server that left.
func (c *Checker) AttemptBegins(attempt AttemptStart) {
	known, found := c.requests.requests[attempt.Request]
	if !found {
		return
	}
	c.counts.Attempts++
	c.checkCurrent(known, attempt)
	c.checkLeaving(known, attempt)
	c.checkBudget(known, attempt)
	known.attempts++
	known.last = attempt
	known.sent = true
	at := lifeServer{known.Life, attempt.Server}
	c.requests.running[at]++
	if c.requests.running[at] > c.requests.bounds.Running {
		c.Fail(BoundedQueue, "%v has %d attempts at %s, the bound is %d",
			known.Life, c.requests.running[at], attempt.Server, c.requests.bounds.Running)
	}
}

// Transmits records that the bytes of the newest attempt of a request leave its router. The same
// holds then as when the attempt began: the router may have stood still in between.
func (c *Checker) Transmits(request uint64) {
	known, found := c.requests.requests[request]
	if !found {
		return
	}
	c.checkCurrent(known, known.last)
	c.checkLeaving(known, known.last)
}

func (c *Checker) checkCurrent(known *requestRecord, attempt AttemptStart) {
	needed := c.tableAt(c.now() - c.requests.bounds.Staleness)
	if attempt.Table < needed {
		c.Fail(CurrentTable, "%v sends request %d by revision %d, and %d was in force %v before",
			known.Life, attempt.Request, attempt.Table, needed, c.requests.bounds.Staleness)
	}
}

// checkLeaving holds for services without keys. A shard stays with a server
// that leaves until it is moved, and its requests go there so long.
func (c *Checker) checkLeaving(known *requestRecord, attempt AttemptStart) {
	since, leaves := c.requests.leaving[attempt.Server]
	if attempt.Epoch == 0 && leaves && c.now()-since > c.requests.bounds.Staleness {
		c.Fail(Drained, "%v sends request %d to %s, which leaves since %v", known.Life, attempt.Request, attempt.Server, since)
	}
}

// checkBudget counts the resends that the budget pays for: all but those that
// follow the key to another owner, or go to one that answered since it refused.
func (c *Checker) checkBudget(known *requestRecord, attempt AttemptStart) {
	moved := known.last.Shard != attempt.Shard || known.last.Epoch != attempt.Epoch
	answered := c.requests.answered[lifeServer{known.Life, attempt.Server}] > known.lastEnd
	answered = answered && known.lastKind != fault.Draining
	if known.attempts == 0 || (attempt.Epoch != 0 && (moved || answered) && retry.OwnershipChanged(known.lastKind)) {
		return
	}
	use := c.budget(known.RequestStart)
	use.resends++
	bound := c.requests.bounds.Burst + c.requests.bounds.Ratio*float64(use.fresh)
	if float64(use.resends) > bound {
		c.Fail(RetryBudget, "%v sent %d resends for %d requests of %s, the bound is %.1f",
			known.Life, use.resends, use.fresh, known.Service, bound)
	}
}

// AttemptRuns records that a back end executes a request.
func (c *Checker) AttemptRuns(number uint64) {
	known, found := c.requests.requests[number]
	if !found {
		return
	}
	known.runs++
	c.counts.Runs++
	if known.notRun {
		c.Fail(NotRunNeverRan, "request %d runs after %v answered that it did not", number, known.Life)
	}
	if known.runs > 1 && !known.Repeatable {
		c.Fail(AtMostOnce, "request %d may not be repeated and runs %d times", number, known.runs)
	}
}

// AttemptEnds records what a router takes an attempt for. The empty kind means
// that the whole answer came. Cancels says that the router asks the back end
// first to give the attempt up.
func (c *Checker) AttemptEnds(number uint64, kind fault.Kind, cancels bool) {
	known, found := c.requests.requests[number]
	if !found {
		return
	}
	if known.sent {
		known.sent = false
		c.requests.running[lifeServer{known.Life, known.last.Server}]--
	}
	known.lastKind = kind
	known.lastEnd = c.now()
	if kind == "" {
		c.requests.answered[lifeServer{known.Life, known.last.Server}] = c.now()
	}
	known.final = !cancels && (kind == "" || !retry.Allowed(kind, known.Repeatable))
	known.finalAt = c.now()
}

// GivesUp records that a router decided on the final answer.
func (c *Checker) GivesUp(number uint64) {
	if known, found := c.requests.requests[number]; found && !known.final {
		known.final = true
		known.finalAt = c.now()
	}
}

// RequestEnds records the answer that the caller gets.
func (c *Checker) RequestEnds(number uint64, outcome fault.Outcome) {
	known, found := c.requests.requests[number]
	if !found {
		return
	}
	c.counts.Answers++
	c.budget(known.RequestStart).inFlight--
	if known.final && c.now() != known.finalAt {
		c.Fail(AnswerAtOnce, "request %d is answered %v after nothing was left to wait for", number, c.now()-known.finalAt)
	}
	known.notRun = outcome == fault.NotRun
	if known.notRun && known.runs > 0 {
		c.Fail(NotRunNeverRan, "request %d ran, and %v answers that it did not", number, known.Life)
	}
	if outcome == fault.Completed && known.runs == 0 {
		c.Fail(NotRunNeverRan, "request %d did not run, and %v answers that it did", number, known.Life)
	}
}

// RouterDies forgets what a router process had under way.
func (c *Checker) RouterDies(life RouterLife) {
	for at := range c.requests.running {
		if at.life == life {
			delete(c.requests.running, at)
		}
	}
}

// ServerLeaves records the first signal that a server takes no new work.
func (c *Checker) ServerLeaves(server state.ServerID) {
	if _, known := c.requests.leaving[server]; !known {
		c.requests.leaving[server] = c.now()
	}
}

// ServerStays records that a server takes new work again.
func (c *Checker) ServerStays(server state.ServerID) { delete(c.requests.leaving, server) }

// observeServer follows what was agreed on a server.
func (c *Checker) observeServer(server *state.Server) {
	if server.Leaving || server.Intent != state.ServerActive {
		c.ServerLeaves(server.ID)
		return
	}
	c.ServerStays(server.ID)
}

package execution

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// resendBurst is how many resends of a service may follow each other without
	// a fresh request.
	resendBurst = 20
	// resendLook is how often a request without a resend in the budget looks
	// whether it may be sent.
	resendLook = 50 * time.Millisecond
)

// Fleet is what the router knows of its servers.
type Fleet interface {
	dispatch.Fleet
	// Answered notes an answer of the server that is no refusal.
	Answered(server *state.Server, now time.Duration)
	// AnsweredSince reports whether the server gave one after a clock reading.
	AnsweredSince(server *state.Server, reading time.Duration) bool
}

// Options are the parts that a Core decides by.
type Options struct {
	Planner *dispatch.Planner
	Policy  retry.Policy
	Fleet   Fleet
	Health  *health.Tracker
	// Jitter returns a number in [0, 1). It must be safe for concurrent use.
	Jitter func() float64
}

// Core is what the requests of one router share. It is safe for concurrent use.
type Core struct {
	options Options
	waiting ownerWaits

	mutex   sync.Mutex
	budgets map[state.ServiceName]*retry.Budget
}

// New returns a core with full retry budgets.
func New(options Options) *Core {
	return &Core{
		options: options, waiting: ownerWaits{counts: make(map[state.ServiceName]int)},
		budgets: make(map[state.ServiceName]*retry.Budget),
	}
}

// Begin counts a fresh request in. Its first step is Plan; the caller must call
// End once it has the final answer. Request and service must not change.
func (c *Core) Begin(request *dispatch.Request, service *state.Service) *Execution {
	c.budget(service).Fresh()
	return &Execution{core: c, request: request, service: service}
}

// OwnerWaits returns how many requests wait for an owner.
func (c *Core) OwnerWaits() int { return c.waiting.total() }

// budget returns the service's retry budget at its present ratio.
func (c *Core) budget(service *state.Service) *retry.Budget {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found, ok := c.budgets[service.Name]
	if !ok {
		found = retry.NewBudget(service.RetryRatio, resendBurst)
		c.budgets[service.Name] = found
	}
	found.SetRatio(service.RetryRatio)
	return found
}

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
	// resendBurst is the maximum number of consecutive resends of a service without a
	// new request.
	resendBurst = 20
	// budgetRetryInterval is the time after which a request that found the resend budget
	// empty checks again whether it may be sent.
	budgetRetryInterval = 50 * time.Millisecond
)

// Fleet provides and records what the router knows about its servers.
type Fleet interface {
	dispatch.Fleet
	// Answered records that the server has given an answer that is not a refusal.
	Answered(server *state.Server, now time.Duration)
	// AnsweredSince reports whether the server has given such an answer after the clock
	// reading.
	AnsweredSince(server *state.Server, reading time.Duration) bool
}

// Options are the dependencies of a Core.
type Options struct {
	Planner *dispatch.Planner
	Policy  retry.Policy
	Fleet   Fleet
	Health  *health.Tracker
	// Jitter returns a number in [0, 1). It must be safe for concurrent use.
	Jitter func() float64
}

// Core holds the state that all requests of one router share. It is safe for concurrent
// use.
type Core struct {
	options    Options
	ownerWaits ownerWaits

	mutex   sync.Mutex
	budgets map[state.ServiceName]*retry.Budget
}

// New returns a core with full retry budgets.
func New(options Options) *Core {
	return &Core{
		options: options, ownerWaits: ownerWaits{counts: make(map[state.ServiceName]int)},
		budgets: make(map[state.ServiceName]*retry.Budget),
	}
}

// Begin starts the execution of a new request and credits the service's retry budget.
// The caller calls Plan first and must call End once it has the final answer. Request
// and service must not change.
func (c *Core) Begin(request *dispatch.Request, service *state.Service) *Execution {
	c.budget(service).Fresh()
	return &Execution{core: c, request: request, service: service}
}

// OwnerWaits returns the number of requests that wait for an owner.
func (c *Core) OwnerWaits() int { return c.ownerWaits.total() }

// budget returns the service's retry budget, set to the service's current ratio.
func (c *Core) budget(service *state.Service) *retry.Budget {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	budget, found := c.budgets[service.Name]
	if !found {
		budget = retry.NewBudget(service.RetryRatio, resendBurst)
		c.budgets[service.Name] = budget
	}
	budget.SetRatio(service.RetryRatio)
	return budget
}

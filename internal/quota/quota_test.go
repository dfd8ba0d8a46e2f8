package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// The overload that a deployment tolerates within a window; the values match quota_window, overrun
// and slack of the deployment's
// bounds.
const (
	limitWindow    = 5 * time.Second
	allowedOverrun = 0.1
	slack          = 20
	step           = 5 * time.Millisecond
)

// fleet simulates gateways and a leader in fixed steps. A message takes one step each way.
type fleet struct {
	random   *rand.Rand
	policy   Policy
	ledger   *Ledger
	now      time.Duration
	gateways []*gatewayNode
	limits   map[string]Limit
	// perSecond is the request rate of each tenant's callers, homes the gateways that they call.
	perSecond   map[string]float64
	homes       map[string][]int
	dueRequests map[string]float64
	leaderUp    bool
	// answerDelay returns the delay of a leader's answer beyond one step.
	answerDelay func() time.Duration
	// passed are the times at which requests of a tenant passed; asked and served count its
	// requests.
	passed map[string][]time.Duration
	asked  map[string]int
	served map[string]int
	// servedUrgent counts the served requests of the highest urgency.
	servedUrgent map[string]int
}

type gatewayNode struct {
	accounts          *Accounts
	partitioned, down bool
	lastReport        time.Duration
	connected         bool
	answers           []leaderAnswer
	waiting           []waitingRequest
}

// leaderAnswer is an answer in transit to a gateway.
type leaderAnswer struct {
	due    time.Duration
	grants []Grant
}

type waitingRequest struct {
	tenant  string
	since   time.Duration
	urgency uint8
}

func newFleet(seed uint64, gateways int, tenants int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), policy: TenantPolicy(), ledger: NewLedger(TenantPolicy(), slack), limits: make(map[string]Limit), leaderUp: true,
		perSecond: make(map[string]float64), homes: make(map[string][]int), dueRequests: make(map[string]float64),
		passed: make(map[string][]time.Duration), asked: make(map[string]int), served: make(map[string]int), servedUrgent: make(map[string]int),
	}
	for index := range gateways {
		f.gateways = append(f.gateways, &gatewayNode{accounts: NewAccounts(f.policy, f.random.Float64), lastReport: time.Duration(index) * time.Millisecond})
	}
	for index := range tenants {
		name := fmt.Sprintf("tenant-%d", index)
		normalRate := 400 / float64(index+1)
		f.limits[name] = Limit{Rate: 1.6 * normalRate, Burst: 1.6 * normalRate}
		f.perSecond[name] = normalRate
		homes := max(1, int(normalRate/4))
		for range min(homes, gateways) {
			f.homes[name] = append(f.homes[name], f.random.IntN(gateways))
		}
	}
	return f
}

func (f *fleet) limitOf(tenant string) (Limit, bool) {
	limit, found := f.limits[tenant]
	return limit, found
}

func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += step {
		f.stepArrivals()
		for index, node := range f.gateways {
			f.stepGateway(fmt.Sprint(index), node)
		}
	}
}

func (f *fleet) stepArrivals() {
	for _, name := range slices.Sorted(maps.Keys(f.perSecond)) {
		f.dueRequests[name] += f.perSecond[name] * step.Seconds()
		for ; f.dueRequests[name] >= 1; f.dueRequests[name]-- {
			node := f.gateways[f.homes[name][f.random.IntN(len(f.homes[name]))]]
			if node.down {
				node = f.gateways[f.random.IntN(len(f.gateways))]
			}
			if node.down {
				continue
			}
			f.asked[name]++
			request := waitingRequest{tenant: name, since: f.now}
			if f.policy.OnDemand {
				request.urgency = uint8(f.random.IntN(2) * MostUrgent)
			}
			f.arrive(node, request, false)
		}
	}
}

func (f *fleet) arrive(node *gatewayNode, request waitingRequest, waited bool) {
	tenant := Subject{Name: request.tenant, Limit: f.limits[request.tenant], Gateways: len(f.gateways), Urgency: request.urgency}
	verdict, _ := node.accounts.Arrive(f.now, tenant, waited)
	if verdict == Wait && f.now-request.since >= AnswerTime {
		verdict, _ = node.accounts.GiveUp(f.now, tenant, request.since)
	}
	switch verdict {
	case Taken:
		f.passed[request.tenant] = append(f.passed[request.tenant], f.now)
		f.served[request.tenant]++
		f.servedUrgent[request.tenant] += int(request.urgency) / MostUrgent
	case Wait:
		node.accounts.AddWaiting(f.now, tenant, 1)
		node.waiting = append(node.waiting, request)
	default:
	}
}

func (f *fleet) stepGateway(name string, node *gatewayNode) {
	if node.down {
		return
	}
	reachable := f.leaderUp && !node.partitioned
	inTransit := node.answers
	node.answers = nil
	for _, answer := range inTransit {
		switch {
		case !reachable:
		case answer.due > f.now:
			node.answers = append(node.answers, answer)
		default:
			node.accounts.Answered(f.now, answer.grants)
		}
	}
	waiting := node.waiting
	node.waiting = nil
	for _, request := range waiting {
		node.accounts.AddWaiting(f.now, Subject{Name: request.tenant, Urgency: request.urgency}, -1)
		f.arrive(node, request, true)
	}
	const reportInterval = 200 * time.Millisecond
	if f.now-node.lastReport < reportInterval && !node.accounts.AskDue(f.now) {
		return
	}
	node.lastReport = f.now
	if reachable && !node.connected {
		f.ledger.Connect(name)
	}
	if node.connected && !reachable {
		node.accounts.Disconnected(f.now)
	}
	node.connected = reachable
	if !reachable {
		return
	}
	asks := node.accounts.Asks(f.now)
	grants := f.ledger.HandleAsks(f.now, name, asks, f.limitOf)
	if !f.policy.OnDemand || len(asks) > 0 {
		answer := leaderAnswer{due: f.now + step, grants: grants}
		if f.answerDelay != nil {
			answer.due += f.answerDelay()
		}
		node.answers = append(node.answers, answer)
	}
}

// worstExcess returns by how much the busiest window of any tenant exceeds the allowed number of
// requests, and the tenant.
func (f *fleet) worstExcess() (excess float64, tenant string) {
	excess = -1e9
	for name, times := range f.passed {
		limit := f.limits[name]
		allowed := (limit.Rate*limitWindow.Seconds()+limit.Burst)*(1+allowedOverrun) + slack
		first := 0
		for last := range times {
			for times[last]-times[first] >= limitWindow {
				first++
			}
			if over := float64(last-first+1) - allowed; over > excess {
				excess, tenant = over, name
			}
		}
	}
	return excess, tenant
}

// underserved names a tenant that stayed within its limit and had less than 99 % of its requests
// served.
func (f *fleet) underserved() string {
	const minServedShare = 0.99
	for name, asked := range f.asked {
		within := f.perSecond[name] <= f.limits[name].Rate
		if within && float64(f.served[name]) < minServedShare*float64(asked)-1 {
			return fmt.Sprintf("%s: %d of %d", name, f.served[name], asked)
		}
	}
	return ""
}

func (f *fleet) resetCounts() {
	f.asked, f.served, f.servedUrgent = make(map[string]int), make(map[string]int), make(map[string]int)
}

// runFaults simulates a run in which one random tenant sends many times its usual rate, while
// gateways are partitioned, crash and restart, and the leader changes. It returns what went wrong.
func runFaults(f *fleet) string {
	// The controllers are up for a while before all callers start at once.
	normalRates := f.perSecond
	f.perSecond = nil
	f.run(2 * time.Second)
	f.perSecond = normalRates
	f.run(5 * time.Second)
	if short := f.underserved(); short != "" {
		return "without faults: " + short
	}
	hotTenant := fmt.Sprintf("tenant-%d", f.random.IntN(8))
	f.perSecond[hotTenant] *= 7.5
	f.resetCounts()
	f.run(1500 * time.Millisecond)
	if short := f.underserved(); short != "" {
		return "while another tenant overloads: " + short
	}
	for index, node := range f.gateways {
		node.partitioned = index%5 < 2
		node.down = index%7 == 1
	}
	f.run(5 * time.Second)
	f.leaderUp = false
	f.run(1200 * time.Millisecond)
	f.ledger.StartTerm(f.now)
	f.leaderUp = true
	f.run(2 * time.Second)
	for _, node := range f.gateways {
		if node.down {
			node.accounts, node.connected = NewAccounts(f.policy, f.random.Float64), false
		}
		node.partitioned, node.down = false, false
	}
	f.run(2 * time.Second)
	if excess, tenant := f.worstExcess(); excess > 0 {
		return fmt.Sprintf("%s passed %.0f more requests than allowed in a window; the overloading tenant was %s", tenant, excess, hotTenant)
	}
	return ""
}

// TestLimitsHoldOverTheFleet checks with 300 gateways and 100 tenants that no tenant exceeds what
// the deployment allows in any window, and that tenants within their limits are served.
func TestLimitsHoldOverTheFleet(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20)
	parameters.MinSuccessfulTests = 8
	properties := gopter.NewProperties(parameters)
	properties.Property("limits hold", prop.ForAllNoShrink(func(seed uint64) bool {
		failure := runFaults(newFleet(seed, 300, 100))
		if failure != "" {
			t.Logf("seed %d: %s", seed, failure)
		}
		return failure == ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestCountsAreBounded checks that a gateway that reports more tokens used or returned than it can
// have held gains nothing for its tenant.
func TestCountsAreBounded(t *testing.T) {
	ledger := NewLedger(TenantPolicy(), slack)
	limit := Limit{Rate: 10, Burst: 10}
	limitOf := func(string) (Limit, bool) { return limit, true }
	granted := uint32(0)
	const seconds = 20
	for now := time.Duration(0); now < seconds*time.Second; now += 100 * time.Millisecond {
		for _, grant := range ledger.HandleAsks(now, "g", []Ask{{Subject: "t", Want: 1 << 31, Used: 1 << 31, Returned: 1 << 31}}, limitOf) {
			granted += grant.Tokens
		}
	}
	if bound := uint32(limit.Rate*seconds + limit.Burst + slack); granted > bound {
		t.Errorf("%d tokens granted in %d s, want at most %d", granted, seconds, bound)
	}
}

// TestAdvancesAreCharged checks that a tenant whose callers rarely call each of many gateways, so
// that every request uses a token that is not granted yet, stays within its limit over a long run.
func TestAdvancesAreCharged(t *testing.T) {
	const gateways, duration = 100, 90 * time.Second
	f := newFleet(1, gateways, 1)
	f.limits["tenant-0"] = Limit{Rate: 2, Burst: 2}
	f.perSecond["tenant-0"] = 8
	f.homes["tenant-0"] = nil
	for index := range gateways {
		f.homes["tenant-0"] = append(f.homes["tenant-0"], index)
	}
	f.run(duration)
	limit := f.limits["tenant-0"]
	if bound := int(limit.Rate*duration.Seconds()*(1+allowedOverrun) + limit.Burst + slack); f.served["tenant-0"] > bound {
		t.Errorf("%d requests passed in %s, want at most %d", f.served["tenant-0"], duration, bound)
	}
	if excess, _ := f.worstExcess(); excess > 0 {
		t.Errorf("%.0f more requests than allowed passed in a window", excess)
	}
}

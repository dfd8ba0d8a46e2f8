package experiment

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Workload is one keyed service with its traffic. Sizes, latencies and costs
// are those that the teams gave; the time that a request executes, the number
// of keys and the shape of the traffic are assumptions.
type Workload struct {
	Deployment string
	Service    string
	Weights    state.Weights
	Zones      int
	Servers    int
	// Slots and Connections are those of one server.
	Slots       int
	Connections int
	// ClientOneWay and ZoneOneWay are the times to a client and between zones.
	ClientOneWay time.Duration
	ZoneOneWay   time.Duration
	// ConnectCost is what a new connection adds to a request; ProbeCost is how
	// long a probe, one a second, keeps a slot busy.
	ConnectCost time.Duration
	ProbeCost   time.Duration
	// ServiceTime is the mean time that a request executes on a warm server.
	ServiceTime time.Duration
	Timeout     time.Duration
	Keys        int
	// Exponent is that of the Zipf law of the keys' popularity.
	Exponent float64
	// Utilization is the share of all slots that the plain traffic keeps busy.
	Utilization float64
	// Surge multiplies the plain traffic for a while; HotLoads are keys that
	// become hot at the same time, in busy slots.
	Surge    float64
	HotLoads []float64
}

// Assumptions that all workloads share.
const (
	executeTime     = 20 * time.Millisecond
	plainUse        = 0.5
	paylinkSlots    = 2
	paylinkConnects = 100
	derwentSlots    = 4
	derwentConnects = 130
	connectCost     = time.Millisecond
	paylinkProbe    = 6 * time.Millisecond
	zoneCount       = 3
)

// Paylink returns the keyed services of the transfer gateway on a salary day.
func Paylink() []Workload {
	base := Workload{
		Deployment: "paylink", Weights: state.Weights{Imbalance: 1, Churn: 20, Unavailable: 5},
		Zones: zoneCount, Slots: paylinkSlots, Connections: paylinkConnects,
		ClientOneWay: 3 * time.Millisecond, ZoneOneWay: 500 * time.Microsecond,
		ConnectCost: connectCost, ProbeCost: paylinkProbe, ServiceTime: executeTime,
		Keys: 20_000, Exponent: 0.9, Utilization: plainUse, Surge: 1.2,
	}
	view, transfer := base, base
	view.Service, view.Servers, view.Timeout, view.HotLoads = "ledger-view", 15, 2*time.Second, []float64{0.6, 0.6, 0.4, 0.4}
	transfer.Service, transfer.Servers, transfer.Timeout, transfer.HotLoads = "transfer-core", 6, 3*time.Second, []float64{0.4, 0.3}
	return []Workload{view, transfer}
}

// Derwent returns the keyed service of the gallery gateway with a viral gallery.
func Derwent() []Workload {
	return []Workload{{
		Deployment: "derwent", Service: "viewer", Weights: state.Weights{Imbalance: 1, Churn: 2, Unavailable: 20},
		Zones: zoneCount, Servers: 20, Slots: derwentSlots, Connections: derwentConnects,
		ClientOneWay: time.Millisecond, ZoneOneWay: 1500 * time.Microsecond,
		ConnectCost: connectCost, ServiceTime: executeTime, Timeout: 2 * time.Second,
		Keys: 5_000, Exponent: 0.8, Utilization: plainUse, Surge: 1, HotLoads: []float64{2.4, 0.8, 0.8},
	}}
}

// slots is the number of slots of the servers that are always there.
func (w Workload) slots() float64 {
	return float64(w.Servers * w.Slots)
}

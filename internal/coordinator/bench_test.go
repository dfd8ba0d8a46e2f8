package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// fleet is a large service whose servers answer at once.
type fleet struct {
	now   time.Duration
	index uint64
	view  *state.State
	core  *Coordinator
	lost  map[state.ServerID]bool
	// report makes a server's load report; nil reports nothing.
	report func(server state.ServerID, loads bool) backendapi.LoadReport
	// proposed, when not nil, is told of each proposal before it is applied.
	proposed func(command state.Command)
	// sets counts the whole sets of shards that servers were sent.
	sets int
}

func newFleet(servers, shards int) *fleet {
	f := &fleet{view: state.New(), lost: make(map[state.ServerID]bool)}
	operations := []state.Operation{{PutService: &state.Service{Name: "s", Keyed: true, MaxMoves: 64}}}
	for number := range servers {
		operations = append(operations, state.Operation{PutServer: &state.Server{
			ID: fleetServer(number), Service: "s", Zone: string(rune('a' + number%7)), Slots: 4, Intent: state.ServerActive,
		}})
	}
	operations = append(operations, state.Operation{CreateShards: &state.CreateShards{Service: "s", Count: shards}})
	f.apply(state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: "create", Operations: operations}}})
	f.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: "create"}})
	for number := range servers {
		f.apply(state.Command{OpenSession: &state.OpenSession{Server: fleetServer(number), Incarnation: "one"}})
	}
	assign := &state.AssignShards{}
	for position, shard := range f.view.ShardsOf("s") {
		assign.Assignments = append(assign.Assignments, state.ShardAssignment{
			Shard: shard.ID, Server: fleetServer(position % servers), Session: 1,
		})
	}
	f.apply(state.Command{AssignShards: assign})
	config := testConfig
	config.MaxBatch = DefaultMaxBatch
	f.core = New(config)
	f.core.Lead(f.now, 1, f.view)
	return f
}

func fleetServer(number int) state.ServerID {
	return state.ServerID(fmt.Sprintf("server-%04d", number))
}

// stagger spreads the first messages to the servers, and with them all later
// ones, over a renewal interval.
func (f *fleet) stagger() {
	for position, known := range f.core.ordered {
		known.next = f.now + f.core.config.RenewInterval*time.Duration(position)/time.Duration(len(f.core.ordered))
	}
}

// lostShards counts the shards that lost servers still own.
func (f *fleet) lostShards() int {
	count := 0
	for server := range f.lost {
		count += f.view.OwnedCount(server)
	}
	return count
}

func (f *fleet) apply(command state.Command) {
	f.index++
	result := f.view.Apply(f.index, command)
	if f.core != nil {
		f.core.Changed(f.now, result.Changed)
	}
}

// tick runs one tick and everything that follows from it.
func (f *fleet) tick() {
	const interval = 10 * time.Millisecond
	f.now += interval
	actions := f.core.Tick(f.now, f.view)
	if actions.Round != 0 {
		f.core.RoundConfirmed(f.now, actions.Round)
	}
	for _, proposal := range actions.Proposals {
		if f.proposed != nil {
			f.proposed(proposal.Command)
		}
		f.apply(proposal.Command)
		f.core.ProposalDone(proposal.Token)
	}
	for _, send := range actions.Sends {
		if send.Request.Replace {
			f.sets++
		}
		if f.lost[send.Server] {
			f.core.Failed(send.Server, send.Request.Fence.Sequence)
			continue
		}
		var load backendapi.LoadReport
		if f.report != nil {
			load = f.report(send.Server, send.Request.ReportLoads)
		}
		f.core.Answered(f.now, send.Server, send.Request.Fence.Sequence, backendapi.LeaseAnswer{
			Server: string(send.Server), Incarnation: "one", ClockNs: int64(f.now), Accepted: true,
			Session: 1, Version: send.Request.Version, Load: load,
		})
	}
}

var fleetSizes = []struct{ servers, shards int }{{1_000, 50_000}, {3_000, 200_000}, {6_200, 530_000}}

// BenchmarkTick measures a tick of 10 ms in a fleet where nothing happens but
// renewals, each server answering every 150 ms.
func BenchmarkTick(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("servers=%d/shards=%d", size.servers, size.shards), func(b *testing.B) {
			f := newFleet(size.servers, size.shards)
			for range 100 {
				f.tick()
			}
			for b.Loop() {
				f.tick()
			}
		})
	}
}

// BenchmarkLoss measures the work, summed over ticks, from the end of the
// leases of 14 servers until each of their shards has an owner.
func BenchmarkLoss(b *testing.B) {
	const lost = 14
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("servers=%d/shards=%d", size.servers, size.shards), func(b *testing.B) {
			f := newFleet(size.servers, size.shards)
			for range 100 {
				f.tick()
			}
			begin := 0
			for b.Loop() {
				for number := range lost {
					f.lost[fleetServer(begin+number)] = true
				}
				begin += lost
				for range 120 {
					f.tick()
				}
			}
			if owned := f.view.OwnedCount(fleetServer(0)); owned != 0 {
				b.Errorf("a lost server still owns %d shards", owned)
			}
		})
	}
}

// BenchmarkZoneLoss measures the work from the end of the leases of one server
// in seven until every shard has an owner, and on the fleet's clock how long
// shards had none.
func BenchmarkZoneLoss(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("servers=%d/shards=%d", size.servers, size.shards), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				f := newFleet(size.servers, size.shards)
				f.stagger()
				for range 100 {
					f.tick()
				}
				for number := 0; number < size.servers; number += 7 {
					f.lost[fleetServer(number)] = true
				}
				for f.view.ActiveCount() == 0 {
					f.tick()
				}
				began := f.now
				f.sets = 0
				b.StartTimer()
				for f.view.ActiveCount() > 0 || f.lostShards() > 0 {
					f.tick()
				}
				b.ReportMetric(float64((f.now - began).Milliseconds()), "fleet-ms")
				b.ReportMetric(float64(f.sets), "sets")
			}
		})
	}
}

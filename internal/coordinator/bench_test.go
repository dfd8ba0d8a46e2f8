package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// fleet runs a coordinator with a large service whose servers answer immediately.
type fleet struct {
	now   time.Duration
	index uint64
	view  *state.State
	core  *Coordinator
	lost  map[state.ServerID]bool
	// report returns a server's load report; if nil, reports are empty.
	report func(server state.ServerID, loads bool) backendapi.LoadReport
	// onProposal, if not nil, is called with each proposal before it is applied.
	onProposal func(command state.Command)
	// fullSets counts the messages that replace a server's whole set of shards.
	fullSets int
}

func newFleet(servers, shards int) *fleet {
	f := &fleet{view: state.New(), lost: make(map[state.ServerID]bool)}
	operations := []state.Operation{{PutService: &state.Service{Name: "s", Keyed: true, MaxMoves: 64}}}
	for number := range servers {
		operations = append(operations, state.Operation{PutServer: &state.Server{
			ID: fleetServerID(number), Service: "s", Zone: string(rune('a' + number%7)), Slots: 4, Intent: state.ServerActive,
		}})
	}
	operations = append(operations, state.Operation{CreateShards: &state.CreateShards{Service: "s", Count: shards}})
	f.apply(state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: "create", Operations: operations}}})
	f.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: "create"}})
	for number := range servers {
		f.apply(state.Command{OpenSession: &state.OpenSession{Server: fleetServerID(number), Incarnation: "one"}})
	}
	assign := &state.AssignShards{}
	for position, shard := range f.view.ShardsOf("s") {
		assign.Assignments = append(assign.Assignments, state.ShardAssignment{
			Shard: shard.ID, Server: fleetServerID(position % servers), Session: 1,
		})
	}
	f.apply(state.Command{AssignShards: assign})
	config := testConfig
	config.MaxBatch = DefaultMaxBatch
	f.core = New(config)
	f.core.Lead(f.now, 1, f.view)
	return f
}

func fleetServerID(number int) state.ServerID {
	return state.ServerID(fmt.Sprintf("server-%04d", number))
}

// stagger spreads the first messages to the servers, and with them all later
// ones, over a renewal interval.
func (f *fleet) stagger() {
	for position, tracker := range f.core.orderedTrackers {
		tracker.nextMessageAt = f.now + f.core.config.RenewInterval*time.Duration(position)/time.Duration(len(f.core.orderedTrackers))
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

// tick runs one tick and carries out its actions.
func (f *fleet) tick() {
	const interval = 10 * time.Millisecond
	f.now += interval
	actions := f.core.Tick(f.now, f.view)
	if actions.Round != 0 {
		f.core.RoundConfirmed(f.now, actions.Round)
	}
	for _, proposal := range actions.Proposals {
		if f.onProposal != nil {
			f.onProposal(proposal.Command)
		}
		f.apply(proposal.Command)
		f.core.ProposalDone(proposal.Token)
	}
	for _, send := range actions.Sends {
		if send.Request.Replace {
			f.fullSets++
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

// BenchmarkTick measures one of the ticks that run every 10 ms, in a fleet with only
// renewals, where each server answers every 150 ms.
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

// BenchmarkLoss measures the work, summed over ticks, of closing the sessions of
// 14 lost servers and assigning their shards.
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
					f.lost[fleetServerID(begin+number)] = true
				}
				begin += lost
				for range 120 {
					f.tick()
				}
			}
			if owned := f.view.OwnedCount(fleetServerID(0)); owned != 0 {
				b.Errorf("a lost server still owns %d shards", owned)
			}
		})
	}
}

// BenchmarkZoneLoss measures the work from the end of the first lease after the
// loss of every seventh server until every shard has an owner, and the time which
// that takes on the fleet's clock.
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
					f.lost[fleetServerID(number)] = true
				}
				for f.view.ActiveCount() == 0 {
					f.tick()
				}
				began := f.now
				f.fullSets = 0
				b.StartTimer()
				for f.view.ActiveCount() > 0 || f.lostShards() > 0 {
					f.tick()
				}
				b.ReportMetric(float64((f.now - began).Milliseconds()), "fleet-ms")
				b.ReportMetric(float64(f.fullSets), "sets")
			}
		})
	}
}

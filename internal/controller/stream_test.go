package controller

import (
	"context"
	"net"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const streamCluster message.ClusterID = "c1"

// streamReplica returns a replica whose history leads on from revision zero.
func streamReplica() *replica {
	r := &replica{state: state.New()}
	r.settings.Table.SnapshotObjects = 2
	r.history = newTableHistory(16, 0)
	for index, shards := range []int{3, 5} {
		service := state.Service{Name: state.ServiceName([]string{"a", "b"}[index]), Keyed: true}
		plan := state.Plan{ID: state.PlanID(service.Name), Operations: []state.Operation{
			{PutService: &service}, {CreateShards: &state.CreateShards{Service: service.Name, Count: shards}},
		}}
		r.applyCommand(uint64(2*index+1), state.Command{StorePlan: &state.StorePlan{Plan: plan}})
		r.applyCommand(uint64(2*index+2), state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
	}
	return r
}

// serveOnce sends what a router lacks and applies it to the router's table.
func serveOnce(t *testing.T, r *replica, hello message.RouterHello, builder *table.Builder) (snapshots int, err error) {
	t.Helper()
	here, there := net.Pipe()
	sender, receiver := wire.NewConn(here, wire.Options{}), wire.NewConn(there, wire.Options{})
	stream := &tableStream{replica: r, cluster: streamCluster, connection: sender}
	stream.begin(hello)
	var group conc.WaitGroup
	defer group.Wait()
	defer receiver.Close()
	group.Go(func() {
		ctx := context.Background()
		if _, err := stream.writeTable(ctx); err != nil {
			t.Error(err)
		}
		if err := sender.Send(ctx, &message.ControllerFrame{Pong: &message.Pong{}}); err != nil {
			t.Error(err)
		}
	})
	for {
		var frame message.ControllerFrame
		if err := receiver.Receive(&frame); err != nil {
			t.Fatal(err)
		}
		switch {
		case frame.Pong != nil:
			return snapshots, err
		case err != nil:
		case frame.Snapshot != nil:
			snapshots++
			_, err = builder.ApplySnapshot(*frame.Snapshot)
		case frame.Delta != nil:
			err = builder.ApplyDelta(*frame.Delta)
		}
	}
}

// TestStreamStartsAnew: a router whose table cannot be built upon gets a whole
// one, although the history leads on from revision zero.
func TestStreamStartsAnew(t *testing.T) {
	r := streamReplica()
	revision, digest := r.tablePosition()
	cases := map[string]message.RouterHello{
		"empty":                 {},
		"asks for a whole one":  {Cluster: streamCluster},
		"digest differs":        {Cluster: streamCluster, Revision: revision, Digest: digest + 1},
		"another cluster":       {Cluster: "c2", Revision: revision, Digest: digest},
		"ahead of the leader":   {Cluster: streamCluster, Revision: revision + 1},
		"same, no cluster seen": {Revision: revision, Digest: digest},
	}
	for name, hello := range cases {
		builder := table.NewBuilder()
		snapshots, err := serveOnce(t, r, hello, builder)
		if err != nil || snapshots == 0 {
			t.Errorf("%s: %d parts of a snapshot, %v", name, snapshots, err)
		}
		held := builder.Table()
		if held.Cluster() != streamCluster || held.Revision() != revision || held.Digest() != digest {
			t.Errorf("%s: the router holds %+v", name, held.Summary())
		}
	}
}

// TestStreamLeadsOn: a router that is behind gets the changes alone.
func TestStreamLeadsOn(t *testing.T) {
	r := streamReplica()
	builder := table.NewBuilder()
	if _, err := serveOnce(t, r, message.RouterHello{}, builder); err != nil {
		t.Fatal(err)
	}
	held := builder.Table()
	r.applyCommand(9, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r1"}}})
	hello := message.RouterHello{Cluster: held.Cluster(), Revision: held.Revision(), Digest: held.Digest()}
	snapshots, err := serveOnce(t, r, hello, builder)
	if err != nil || snapshots != 0 || builder.Table().Revision() != 9 {
		t.Errorf("%d parts of a snapshot, %v, table %+v", snapshots, err, builder.Table().Summary())
	}
}

package message

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/quota"
)

// DirectoryRequest is a message from a gateway on a directory connection. The
// first one tells what the gateway holds, each later one asks for proof that the
// directory is current.
type DirectoryRequest struct {
	// Cluster and Revision are what the gateway holds; zero for none.
	Cluster  ClusterID          `msgpack:"c,omitempty"`
	Revision directory.Revision `msgpack:"r,omitempty"`
	// Address is where the gateway serves the directory to other gateways, in the first
	// message; empty if it does not.
	Address string `msgpack:"a,omitempty"`
	// Ping is a number that the answer repeats; zero in the first message.
	Ping uint64 `msgpack:"p,omitempty"`
}

// DirectoryUpdate is a message to a gateway on a directory connection.
type DirectoryUpdate struct {
	// Cluster is told with a whole directory; changes belong to the one that was sent last.
	Cluster ClusterID `msgpack:"c,omitempty"`
	// Changes follow the revision that the gateway holds; nil for none.
	Changes *directory.RoutingChanges `msgpack:"d,omitempty"`
	// Pong repeats the number of a ping: the directory was current, and is whole with
	// the changes sent before, at a moment after the ping came.
	Pong uint64 `msgpack:"p,omitempty"`
	// Controllers are the peer addresses of the members of the group, sent whenever
	// they changed.
	Controllers []string `msgpack:"m,omitempty"`
	// Leader is the peer address of the controller that takes counts of requests,
	// sent whenever it changed.
	Leader string `msgpack:"l,omitempty"`
	// Peers are addresses of gateways that serve the directory while no controller
	// answers, sent whenever they changed.
	Peers []string `msgpack:"g,omitempty"`
}

// DemandReport carries a gateway's counts since its last one.
type DemandReport struct {
	// Gateway is what the gateway offers to others, in the first report on a connection.
	Gateway  *heartbeat.GatewayOffer `msgpack:"g,omitempty"`
	Services []heartbeat.Report      `msgpack:"s"`
	// Quotas ask for tokens of tenants, and Instances for those of instances that named a limit;
	// each report with some is answered by a QuotaAnswer.
	Quotas    []quota.Ask `msgpack:"q,omitempty"`
	Instances []quota.Ask `msgpack:"i,omitempty"`
	// InstancesUsedAgoMs are the UsedAgoMs of Instances, in their order. They stand apart since a
	// controller of another version rejects asks with another number of fields.
	InstancesUsedAgoMs []uint32 `msgpack:"a,omitempty"`
	// Quarantine tells of requests under which instances crash; it is answered by a QuotaAnswer, too.
	Quarantine *quarantine.Report `msgpack:"c,omitempty"`
}

// AskForInstances adds asks for tokens of instances to the report.
func (r *DemandReport) AskForInstances(asks []quota.Ask) {
	r.Instances = asks
	r.InstancesUsedAgoMs = make([]uint32, len(asks))
	for index, ask := range asks {
		r.InstancesUsedAgoMs[index] = ask.UsedAgoMs
	}
}

// InstanceAsks returns the asks for tokens of instances. What a gateway of an earlier version counts
// as used went just now, as far as is known.
func (r *DemandReport) InstanceAsks() []quota.Ask {
	for index := range min(len(r.Instances), len(r.InstancesUsedAgoMs)) {
		r.Instances[index].UsedAgoMs = r.InstancesUsedAgoMs[index]
	}
	return r.Instances
}

// Asks reports whether the report is to be answered.
func (r *DemandReport) Asks() bool {
	return len(r.Quotas) > 0 || len(r.Instances) > 0 || r.Quarantine != nil
}

// QuotaAnswer answers the asks of a DemandReport.
type QuotaAnswer struct {
	Grants []quota.Grant `msgpack:"g"`
	// Instances are the grants for instances that named a limit.
	Instances []quota.Grant `msgpack:"i,omitempty"`
	// Heard is the number of the quarantine report that was heard; zero for none.
	Heard uint64 `msgpack:"h,omitempty"`
}

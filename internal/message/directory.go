package message

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/quota"
	"github.com/thorntiller/thorntiller/internal/remoteclock"
)

// DirectoryRequest is a message from a gateway on a directory connection. The first one describes
// what the gateway has; each later one asks for proof that the directory is current.
type DirectoryRequest struct {
	// Cluster and Revision identify the directory that the gateway has; zero for none.
	Cluster  ClusterID          `msgpack:"c,omitempty"`
	Revision directory.Revision `msgpack:"r,omitempty"`
	// Address is the address at which the gateway serves the directory to other gateways; empty if
	// it does not. It is set only in the first message.
	Address string `msgpack:"a,omitempty"`
	// Ping is a number that the answer repeats in Pong; zero in the first message.
	Ping uint64 `msgpack:"p,omitempty"`
}

// DirectoryUpdate is a message to a gateway on a directory connection.
type DirectoryUpdate struct {
	// Cluster is sent with a whole directory; changes belong to the cluster that was sent last.
	Cluster ClusterID `msgpack:"c,omitempty"`
	// Changes apply to the revision that the gateway has; nil for none.
	Changes *directory.RoutingChanges `msgpack:"d,omitempty"`
	// Pong repeats the number of a ping. The directory, with the changes sent before this message,
	// was complete and current at some moment after the ping was received.
	Pong uint64 `msgpack:"p,omitempty"`
	// ProofAgeMs is sent with a Pong by a gateway that serves the directory to others: how long before the
	// pong its own directory was proved current, rounded up and at least 1. It is zero from a controller.
	ProofAgeMs uint32 `msgpack:"o,omitempty"`
	// ProvedAt is sent with a Pong: the sender's clock when the ping had arrived, from which ProofAgeMs counts.
	ProvedAt *remoteclock.Reading `msgpack:"k,omitempty"`
	// Unconfirmed is sent in place of Pong by a gateway that serves the directory to others, while no controller confirms
	// its own. It repeats the number of a ping.
	Unconfirmed uint64 `msgpack:"n,omitempty"`
	// Controllers are the peer addresses of the group's members, sent whenever they have changed.
	Controllers []string `msgpack:"m,omitempty"`
	// Leader is the peer address of the controller that receives demand reports, sent whenever it
	// has changed.
	Leader string `msgpack:"l,omitempty"`
	// Peers are the addresses of gateways that serve the directory while no controller answers,
	// sent whenever they have changed.
	Peers []string `msgpack:"g,omitempty"`
}

// DemandReport has a gateway's request counts since its last report.
type DemandReport struct {
	// Gateway describes what the gateway offers to other gateways. It is set only in the first
	// report on a connection.
	Gateway  *heartbeat.GatewayOffer `msgpack:"g,omitempty"`
	Services []heartbeat.Report      `msgpack:"s"`
	// Quotas ask for tokens of tenants, and Instances for tokens of instances that announced a
	// limit. Each report with any of them is answered by a QuotaAnswer.
	Quotas    []quota.Ask `msgpack:"q,omitempty"`
	Instances []quota.Ask `msgpack:"i,omitempty"`
	// InstancesUsedAgoMs are the UsedAgoMs of Instances, in the same order. They are a field of
	// their own because a controller of another version rejects asks with another number of fields.
	InstancesUsedAgoMs []uint32 `msgpack:"a,omitempty"`
	// Quarantine reports requests under which instances crash. It is also answered by a
	// QuotaAnswer.
	Quarantine *quarantine.Report `msgpack:"c,omitempty"`
}

// AskForInstances sets the report's asks for tokens of instances.
func (r *DemandReport) AskForInstances(asks []quota.Ask) {
	r.Instances = asks
	r.InstancesUsedAgoMs = make([]uint32, len(asks))
	for index, ask := range asks {
		r.InstancesUsedAgoMs[index] = ask.UsedAgoMs
	}
}

// InstanceAsks returns the asks for tokens of instances. A gateway of an earlier version sends no
// ages, so the requests that it counts as used are assumed to have been sent just now.
func (r *DemandReport) InstanceAsks() []quota.Ask {
	for index := range min(len(r.Instances), len(r.InstancesUsedAgoMs)) {
		r.Instances[index].UsedAgoMs = r.InstancesUsedAgoMs[index]
	}
	return r.Instances
}

// Asks reports whether the report must be answered.
func (r *DemandReport) Asks() bool {
	return len(r.Quotas) > 0 || len(r.Instances) > 0 || r.Quarantine != nil
}

// QuotaAnswer answers the asks of a DemandReport.
type QuotaAnswer struct {
	Grants []quota.Grant `msgpack:"g"`
	// Instances are the grants for instances that announced a limit.
	Instances []quota.Grant `msgpack:"i,omitempty"`
	// Heard is the number of the quarantine report that was received; zero for none.
	Heard uint64 `msgpack:"h,omitempty"`
}

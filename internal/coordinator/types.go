package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Config sets the times of leases. Times are on this controller's clock.
type Config struct {
	// LeaseDuration counts on the server's clock from its own reading.
	LeaseDuration time.Duration
	// RenewInterval is the time between messages to one server.
	RenewInterval time.Duration
	// ClockRateBound bounds by how much a server's clock may run slower than
	// this controller's, as a share.
	ClockRateBound float64
	// Margin is added when a lease is waited out.
	Margin time.Duration
	// RoundInterval is the least time between two quorum rounds.
	RoundInterval time.Duration
	// MaxBatch bounds the shards in one proposal.
	MaxBatch int
}

// DefaultRoundInterval and DefaultMaxBatch suit every deployment so far.
const (
	DefaultRoundInterval = 20 * time.Millisecond
	DefaultMaxBatch      = 8192
)

// Send is a lease message for one server.
type Send struct {
	Server  state.ServerID
	Address string
	Request backendapi.LeaseRequest
}

// Proposal is a command for the replicated log. The driver reports its end
// with ProposalDone, whether it was applied, refused or dropped.
type Proposal struct {
	Token   uint64
	Command state.Command
}

// Actions is what the driver is to do.
type Actions struct {
	Sends     []Send
	Proposals []Proposal
	// Round, when not zero, asks for a quorum round that begins after this
	// call; the driver reports it with RoundConfirmed.
	Round uint64
}

// ServerView is what the coordinator knows of one server, for the status page.
type ServerView struct {
	Server state.ServerID
	// LastAnswer is when the server last answered.
	LastAnswer time.Duration
	// InForce is true if the server holds exactly its assignments.
	InForce bool
	Load    backendapi.LoadReport
	// Observed is true while the server serves by its own authority;
	// Differences then counts the key ranges in which its claims and the
	// imported map differ.
	Observed    bool
	Differences int
}

package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Config sets the timing of leases and the size of batches. Durations are measured
// on this controller's clock unless stated otherwise.
type Config struct {
	// LeaseDuration is measured on the server's clock, from its clock reading.
	LeaseDuration time.Duration
	// RenewInterval is the time between messages to one server.
	RenewInterval time.Duration
	// ClockRateBound bounds by how much a server's clock may run slower than
	// this controller's, as a share.
	ClockRateBound float64
	// Margin is added to the lease duration when a lease is waited out.
	Margin time.Duration
	// RoundInterval is the minimum time between the starts of two quorum rounds.
	RoundInterval time.Duration
	// MaxBatch bounds the shards in one proposal.
	MaxBatch int
}

// DefaultRoundInterval and DefaultMaxBatch are values of Config that suit every
// known deployment.
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

// Proposal is a command for the replicated log. The driver calls ProposalDone once
// it was applied, rejected or dropped.
type Proposal struct {
	Token   uint64
	Command state.Command
}

// Actions are what the driver must do after a tick.
type Actions struct {
	Sends     []Send
	Proposals []Proposal
	// Round, if not zero, requests a quorum round that begins after this call;
	// the driver calls RoundConfirmed once it is confirmed.
	Round uint64
}

// ServerView is the coordinator's view of one server, for status displays.
type ServerView struct {
	Server state.ServerID
	// LastAnswer is when the server last answered, -1 if it has not.
	LastAnswer time.Duration
	// InForce is true if the server has exactly its assignments in force.
	InForce bool
	Load    backendapi.LoadReport
	// Observed is true while the server serves its own claims, without a lease;
	// Differences then counts the key ranges in which its claims differ from the
	// imported ownership map.
	Observed    bool
	Differences int
}

package backend

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// Config describes one stand-in back end. Durations are in nanoseconds in JSON
// and like "20ms" in YAML.
type Config struct {
	// ID names the server in the cluster.
	ID string `json:"id" yaml:"id"`
	// Service names the service, for the record file.
	Service string `json:"service" yaml:"service"`
	// Address to listen on, IP:port; port 0 takes one from the kernel.
	Address string `json:"address" yaml:"address"`
	Zone    string `json:"zone" yaml:"zone"`
	// Keyed services check shard, epoch and key of each request.
	Keyed bool `json:"keyed" yaml:"keyed"`
	// Observed makes the server serve Claims, or everything if it is not keyed,
	// without a lease, as under the team's own scripts.
	Observed bool    `json:"observed,omitempty" yaml:"observed"`
	Claims   []Claim `json:"claims,omitempty" yaml:"claims"`
	// Slots is how many requests execute at the same time.
	Slots int `json:"slots" yaml:"slots"`
	// Connections bounds the open connections that may send requests.
	Connections int `json:"connections" yaml:"connections"`
	// QueueLimit bounds the requests that wait for a slot.
	QueueLimit int `json:"queue_limit" yaml:"queue_limit"`
	// ShedAbove is the number of waiting requests above which new ones are
	// shed; zero sheds never, so that the queue fills up.
	ShedAbove int `json:"shed_above" yaml:"shed_above"`
	// ServiceTime is how long a request executes.
	ServiceTime ServiceTime `json:"service_time" yaml:"service_time"`
	// ColdStart is how long after its start the server is slower, by
	// ColdStartFactor.
	ColdStart       time.Duration `json:"cold_start" yaml:"cold_start"`
	ColdStartFactor float64       `json:"cold_start_factor" yaml:"cold_start_factor"`
	// RecordFile takes Execution lines; empty writes none.
	RecordFile string `json:"record_file" yaml:"record_file"`
	// Seed seeds the service times.
	Seed uint64 `json:"seed" yaml:"seed"`
	// LoadLag is how old the answer of the load endpoint may be.
	LoadLag time.Duration `json:"load_lag" yaml:"load_lag"`
	// LoadLie multiplies the reported load; zero stands for 1, the truth.
	LoadLie float64 `json:"load_lie" yaml:"load_lie"`
	// HealthLie makes the health endpoint answer the opposite of the truth.
	HealthLie bool `json:"health_lie" yaml:"health_lie"`
}

// Claim is a range of key hashes, both ends included.
type Claim struct {
	First uint64 `json:"first" yaml:"first"`
	Last  uint64 `json:"last" yaml:"last"`
}

func (c Config) claims() []backendapi.Assignment {
	claims := make([]backendapi.Assignment, 0, len(c.Claims))
	for _, claim := range c.Claims {
		claims = append(claims, backendapi.Assignment{First: claim.First, Last: claim.Last})
	}
	return claims
}

// Distribution names the shape of service times.
type Distribution string

// Distributions of service times.
const (
	DistributionFixed       Distribution = "fixed"
	DistributionExponential Distribution = "exponential"
)

// ServiceTime is a distribution of service times. Draws of the exponential one
// are cut at maxServiceFactor times the mean.
type ServiceTime struct {
	// Distribution is fixed when empty.
	Distribution Distribution  `json:"distribution" yaml:"distribution"`
	Mean         time.Duration `json:"mean" yaml:"mean"`
}

const (
	defaultSlots       = 2
	defaultConnections = 100
	defaultQueueLimit  = 64
	maxServiceFactor   = 10
	maxQueueLimit      = 10_000
	maxConnections     = 10_000
)

// withDefaults fills empty fields.
func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.ColdStartFactor == 0 {
		c.ColdStartFactor = 1
	}
	if c.LoadLie == 0 {
		c.LoadLie = 1
	}
	if c.ServiceTime.Distribution == "" {
		c.ServiceTime.Distribution = DistributionFixed
	}
	return c
}

// Validate names the first field that is wrong, its value and the remedy.
func (c Config) Validate() error {
	switch {
	case c.ID == "":
		return eris.New(`id: is "": give the server a name that is unique in the cluster`)
	case c.Address == "":
		return eris.New(`address: is "": give IP:port to listen on`)
	case c.Slots < 1:
		return eris.Errorf("slots: is %d: give at least 1", c.Slots)
	case c.Connections < 1 || c.Connections > maxConnections:
		return eris.Errorf("connections: is %d: give 1 to %d", c.Connections, maxConnections)
	case c.QueueLimit < 1 || c.QueueLimit > maxQueueLimit:
		return eris.Errorf("queue_limit: is %d: give 1 to %d", c.QueueLimit, maxQueueLimit)
	case c.ShedAbove < 0:
		return eris.Errorf("shed_above: is %d: give 0 to shed never, or more", c.ShedAbove)
	case c.ServiceTime.Mean < 0:
		return eris.Errorf("service_time.mean: is %s: give 0 or more", c.ServiceTime.Mean)
	case c.ColdStartFactor < 1:
		return eris.Errorf("cold_start_factor: is %g: give 1 or more", c.ColdStartFactor)
	case c.LoadLie < 0:
		return eris.Errorf("load_lie: is %g: give 0 or more", c.LoadLie)
	}
	return c.validateDistribution()
}

func (c Config) validateDistribution() error {
	switch c.ServiceTime.Distribution {
	case DistributionFixed, DistributionExponential:
		return nil
	default:
		return eris.Errorf("service_time.distribution: is %q: give %q or %q",
			c.ServiceTime.Distribution, DistributionFixed, DistributionExponential)
	}
}

package caller

import (
	"time"

	"github.com/rotisserie/eris"
)

// Config describes one caller process.
type Config struct {
	// Name stands in the record lines.
	Name string `json:"name" yaml:"name"`
	// Routers are addresses, IP:port.
	Routers []string `json:"routers" yaml:"routers"`
	Loads   []Load   `json:"loads" yaml:"loads"`
	// Requests and Duration bound the run; whichever comes first ends it.
	Requests int           `json:"requests" yaml:"requests"`
	Duration time.Duration `json:"duration" yaml:"duration"`
	// Concurrency bounds the logical requests in flight.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// Attempts bounds the attempts of one logical request.
	Attempts int `json:"attempts" yaml:"attempts"`
	// OtherRouter is the share of resends that go through another router,
	// 0 to 1. After a lost connection the other router is always taken.
	OtherRouter float64 `json:"other_router" yaml:"other_router"`
	// Simultaneous is the share of requests with an Idempotency-Key that are
	// sent twice at the same time, 0 to 1.
	Simultaneous float64 `json:"simultaneous" yaml:"simultaneous"`
	Seed         uint64  `json:"seed" yaml:"seed"`
	// RecordFile takes Attempt lines.
	RecordFile string `json:"record_file" yaml:"record_file"`
}

// Load is the stream of requests to one service.
type Load struct {
	Service string `json:"service" yaml:"service"`
	Keyed   bool   `json:"keyed" yaml:"keyed"`
	// Rate is in requests per second.
	Rate float64 `json:"rate" yaml:"rate"`
	// Keys is the number of keys; KeyPrefix comes before their numbers.
	Keys      int    `json:"keys" yaml:"keys"`
	KeyPrefix string `json:"key_prefix" yaml:"key_prefix"`
	// Skew is the exponent of the Zipf distribution of keys, above 1.
	Skew float64 `json:"skew" yaml:"skew"`
	// Reads is the share of repeatable reads, 0 to 1; the rest may not be
	// repeated and carries an Idempotency-Key.
	Reads float64 `json:"reads" yaml:"reads"`
	// Timeout is what the caller allows for one attempt.
	Timeout time.Duration `json:"timeout" yaml:"timeout"`
}

// Deployment names a mix of loads.
type Deployment string

// Deployments.
const (
	// DeploymentPayments: balance enquiries, payouts and transfers.
	DeploymentPayments Deployment = "payments"
	// DeploymentGallery: browsing, print orders and releases.
	DeploymentGallery Deployment = "gallery"
)

const (
	defaultConcurrency = 256
	defaultAttempts    = 8
	defaultTimeout     = 2 * time.Second
	defaultSkew        = 1.1
	defaultKeys        = 1000
	defaultDuration    = 30 * time.Second
	defaultRequests    = 1_000_000
	maxConcurrency     = 20_000
	maxRate            = 100_000

	mostlyReads = 0.8
	hotSkew     = 1.3
)

// Mix returns the loads of a deployment at a total rate, in requests per second.
func Mix(deployment Deployment, rate float64) ([]Load, error) {
	const half, quarter = 0.5, 0.25
	switch deployment {
	case DeploymentPayments:
		return []Load{
			{Service: "ledger-view", Keyed: true, Rate: rate * half, KeyPrefix: "account-", Reads: mostlyReads},
			{Service: "payout-batcher", Rate: rate * quarter},
			{Service: "transfer-core", Keyed: true, Rate: rate * quarter, KeyPrefix: "account-"},
		}, nil
	case DeploymentGallery:
		return []Load{
			{Service: "viewer", Keyed: true, Rate: rate * half, KeyPrefix: "gallery-", Skew: hotSkew, Reads: mostlyReads},
			{Service: "printdesk", Rate: rate * quarter},
			{Service: "releaser", Rate: rate * quarter},
		}, nil
	default:
		return nil, eris.Errorf("deployment: is %q: give %q or %q", deployment, DeploymentPayments, DeploymentGallery)
	}
}

func (c Config) withDefaults() Config {
	c.Concurrency = orDefault(c.Concurrency, defaultConcurrency)
	c.Attempts = orDefault(c.Attempts, defaultAttempts)
	c.Requests = orDefault(c.Requests, defaultRequests)
	c.Duration = orDefault(c.Duration, defaultDuration)
	loads := make([]Load, len(c.Loads))
	for index, load := range c.Loads {
		load.Timeout = orDefault(load.Timeout, defaultTimeout)
		load.Skew = orDefault(load.Skew, defaultSkew)
		load.Keys = orDefault(load.Keys, defaultKeys)
		loads[index] = load
	}
	c.Loads = loads
	return c
}

func orDefault[N int | float64 | time.Duration](value, fallback N) N {
	if value == 0 {
		return fallback
	}
	return value
}

// Validate names the first field that is wrong, its value and the remedy.
func (c Config) Validate() error {
	switch {
	case len(c.Routers) == 0:
		return eris.New("routers: is empty: give at least one IP:port")
	case len(c.Loads) == 0:
		return eris.New("loads: is empty: give at least one service")
	case c.RecordFile == "":
		return eris.New(`record_file: is "": give a file to write`)
	case c.Requests < 1:
		return eris.Errorf("requests: is %d: give 1 or more", c.Requests)
	case c.Duration <= 0:
		return eris.Errorf("duration: is %s: give more than 0", c.Duration)
	case c.Concurrency < 1 || c.Concurrency > maxConcurrency:
		return eris.Errorf("concurrency: is %d: give 1 to %d", c.Concurrency, maxConcurrency)
	case c.Attempts < 1:
		return eris.Errorf("attempts: is %d: give 1 or more", c.Attempts)
	case !isShare(c.OtherRouter):
		return eris.Errorf("other_router: is %g: give 0 to 1", c.OtherRouter)
	case !isShare(c.Simultaneous):
		return eris.Errorf("simultaneous: is %g: give 0 to 1", c.Simultaneous)
	}
	for _, load := range c.Loads {
		if err := load.validate(); err != nil {
			return eris.Wrapf(err, "loads: service %q", load.Service)
		}
	}
	return nil
}

func (l Load) validate() error {
	switch {
	case l.Service == "":
		return eris.New(`service: is "": name the service`)
	case l.Rate <= 0 || l.Rate > maxRate:
		return eris.Errorf("rate: is %g: give more than 0, at most %d", l.Rate, maxRate)
	case l.Keys < 1:
		return eris.Errorf("keys: is %d: give 1 or more", l.Keys)
	case l.Skew <= 1:
		return eris.Errorf("skew: is %g: give more than 1", l.Skew)
	case !isShare(l.Reads):
		return eris.Errorf("reads: is %g: give 0 to 1", l.Reads)
	case l.Timeout <= 0:
		return eris.Errorf("timeout: is %s: give more than 0", l.Timeout)
	}
	return nil
}

func isShare(value float64) bool {
	return value >= 0 && value <= 1
}

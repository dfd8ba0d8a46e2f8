package intentapi

import (
	"context"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Defaults of ClientConfig.
const (
	DefaultCallTimeout    = 5 * time.Second
	DefaultBackoffBase    = 50 * time.Millisecond
	DefaultBackoffMax     = 1 * time.Second
	DefaultMaxAnswerBytes = 64 << 20
)

// maxEndpoints is the maximum number of endpoints that a client tries, including
// those from leader hints.
const maxEndpoints = 16

// ClientConfig configures a client. Zero durations and sizes select the defaults.
type ClientConfig struct {
	// Endpoints are API addresses of controllers, IP:port.
	Endpoints []string
	// CallTimeout is the timeout of one HTTP call.
	CallTimeout time.Duration
	// BackoffBase is the maximum delay after the first failed round; it doubles
	// each round up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MaxAnswerBytes is the maximum size of the body of an answer.
	MaxAnswerBytes int
	// Certificates authenticate the client and the controllers; nil means plain
	// text.
	Certificates *certificate.Store
}

// Client calls the intent API. It finds the leader and retries calls until the
// context ends. Retries are safe: reads change nothing, a retried plan request has
// the same intent identifier and a retried confirmation the same plan identifier.
// Transfer and Status are not retried in this way. It is safe for concurrent use.
type Client struct {
	config    ClientConfig
	transport transport
}

// transport makes single HTTP calls; it is a *fasthttp.Client but for tests.
type transport interface {
	DoDeadline(request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error
	CloseIdleConnections()
}

// NewClient returns a client. It fails with fault.InvalidArgument without
// endpoints or with more than maxEndpoints.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Endpoints) == 0 || len(config.Endpoints) > maxEndpoints {
		return nil, fault.Newf(fault.InvalidArgument, "endpoints: %d given; give 1 to %d API addresses, IP:port", len(config.Endpoints), maxEndpoints)
	}
	config = withDefaults(config)
	transport := &fasthttp.Client{
		Name:                      "thorntiller",
		Dial:                      config.dial,
		ReadTimeout:               config.CallTimeout,
		WriteTimeout:              config.CallTimeout,
		MaxResponseBodySize:       config.MaxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return &Client{config: config, transport: transport}, nil
}

func withDefaults(config ClientConfig) ClientConfig {
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	if config.BackoffBase == 0 {
		config.BackoffBase = DefaultBackoffBase
	}
	if config.BackoffMax == 0 {
		config.BackoffMax = DefaultBackoffMax
	}
	if config.MaxAnswerBytes == 0 {
		config.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return config
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Plan requests a plan. A repeated intent gets the same answer again.
func (c *Client) Plan(ctx context.Context, intent state.Intent) (state.Plan, error) {
	var plan state.Plan
	err := c.post(ctx, PathPlans, intent, &plan)
	return plan, err
}

// Confirm confirms a stored plan. Confirming it again has no effect.
func (c *Client) Confirm(ctx context.Context, id state.PlanID, request ConfirmRequest) (state.Plan, error) {
	var plan state.Plan
	err := c.post(ctx, pathOf(PathConfirm, id), request, &plan)
	return plan, err
}

// Plans reads every stored plan.
func (c *Client) Plans(ctx context.Context) ([]state.Plan, error) {
	var plans []state.Plan
	err := c.get(ctx, PathPlans, &plans)
	return plans, err
}

// GetPlan reads a stored plan.
func (c *Client) GetPlan(ctx context.Context, id state.PlanID) (state.Plan, error) {
	var plan state.Plan
	err := c.get(ctx, pathOf(PathPlan, id), &plan)
	return plan, err
}

// Services reads the services.
func (c *Client) Services(ctx context.Context) ([]state.Service, error) {
	var services []state.Service
	err := c.get(ctx, PathServices, &services)
	return services, err
}

// Servers reads the servers of all services.
func (c *Client) Servers(ctx context.Context) ([]state.Server, error) {
	var servers []state.Server
	err := c.get(ctx, PathServers, &servers)
	return servers, err
}

// Shards reads the shards of one service.
func (c *Client) Shards(ctx context.Context, service state.ServiceName) ([]state.Shard, error) {
	var shards []state.Shard
	err := c.get(ctx, PathShards+"?service="+url.QueryEscape(string(service)), &shards)
	return shards, err
}

// Routers reads the registered routers.
func (c *Client) Routers(ctx context.Context) ([]RouterStatus, error) {
	var routers []RouterStatus
	err := c.get(ctx, PathRouters, &routers)
	return routers, err
}

// Tenants reads the tenants with their limits and their usage.
func (c *Client) Tenants(ctx context.Context) ([]Tenant, error) {
	var tenants []Tenant
	err := c.get(ctx, PathTenants, &tenants)
	return tenants, err
}

// Directory reads the items, the instances and the owners of the keys.
func (c *Client) Directory(ctx context.Context) (directory.Content, error) {
	var content directory.Content
	err := c.get(ctx, PathDirectory, &content)
	return content, err
}

// Members reads the members of the controller group.
func (c *Client) Members(ctx context.Context) ([]consensus.Member, error) {
	var members []consensus.Member
	err := c.get(ctx, PathMembers, &members)
	return members, err
}

// Transfer asks the leader to hand over its leadership. Unlike the other calls,
// it is not resent once the leader may have accepted it, since a second call
// could move the leadership twice.
func (c *Client) Transfer(ctx context.Context) error {
	call := call{method: fasthttp.MethodPost, path: PathTransfer, isRetryable: hadNoEffect}
	return c.tryEndpoints(ctx, call)
}

// Status reads the status of the replica at one endpoint, leader or not.
func (c *Client) Status(ctx context.Context, endpoint string) (Status, error) {
	var status Status
	_, err := c.send(ctx, endpoint, call{method: fasthttp.MethodGet, path: PathStatus, answer: &status})
	return status, err
}

func pathOf(pattern string, id state.PlanID) string {
	return strings.Replace(pattern, ":id", url.PathEscape(string(id)), 1)
}

func (c *Client) get(ctx context.Context, path string, answer any) error {
	return c.callWithRetry(ctx, call{method: fasthttp.MethodGet, path: path, answer: answer, isRetryable: isTransient})
}

func (c *Client) post(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	return c.callWithRetry(ctx, call{method: fasthttp.MethodPost, path: path, body: body, answer: answer, isRetryable: isTransient})
}

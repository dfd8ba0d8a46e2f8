package sim

import (
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Chances of what operators do, 0 to 1.
const (
	operatorChance    = 0.5
	sharedChance      = 0.4
	otherContent      = 0.5
	abandonChance     = 0.1
	wrongDigestChance = 0.05
	skipDigestChance  = 0.3
	longChance        = 0.05
	mergeChance       = 0.3
)

// newDiskRandom gives a disk its own source, since the disk model is written
// for the older generator.
func newDiskRandom(from *randv2.Rand) *rand.Rand {
	return rand.New(rand.NewSource(from.Int64())) //nolint:gosec // a run must replay from its seed
}

func (s *simulation) chance(share float64) bool { return s.random.Float64() < share }

func (s *simulation) between(lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(s.random.Int64N(int64(highest-lowest)))
}

func (s *simulation) key() string { return fmt.Sprintf("key-%d", s.random.IntN(keyCount)) }

func (s *simulation) executionTime() time.Duration {
	if s.chance(longChance) {
		return s.between(shortExecution, longExecution)
	}
	return s.between(time.Millisecond, shortExecution)
}

func serviceSettings(timeout int64) state.ServiceSettings {
	return state.ServiceSettings{
		DefaultTimeoutMs: timeout, QueueLimit: queueLimit, RequestLimit: requestLimit, RetryRatio: retryRatio, MaxMoves: 3,
		Weights: state.Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
	}
}

// freeServerSpec describes a server of the service without keys.
func freeServerSpec(number int) state.ServerSpec {
	spec := serverSpec(firstServers + spareServers + number)
	spec.ID = state.ServerID(fmt.Sprintf("free-%d", number))
	return spec
}

func serverSpec(number int) state.ServerSpec {
	return state.ServerSpec{
		ID: state.ServerID(fmt.Sprintf("server-%d", number)), Address: fmt.Sprintf("10.0.0.%d:80", number),
		Zone: fmt.Sprintf("zone-%d", number%3), Slots: serverSlots, Connections: 100,
	}
}

// Identifiers of the intents that create the services.
const (
	createIntent     = "create"
	createFreeIntent = "create-free"
)

// createFreeService makes the service without keys.
func (s *simulation) createFreeService() state.Intent {
	create := state.CreateService{Name: freeServiceName, Settings: serviceSettings(1000)}
	for number := 1; number <= freeServers; number++ {
		create.Servers = append(create.Servers, freeServerSpec(number))
	}
	return state.Intent{ID: createFreeIntent, Operator: "operator-1", Kind: state.IntentCreateService, CreateService: &create}
}

func (s *simulation) createService() state.Intent {
	create := state.CreateService{Name: serviceName, Keyed: true, Shards: 4 + int(s.seed%9), Settings: serviceSettings(1000)}
	for number := 1; number <= firstServers; number++ {
		create.Servers = append(create.Servers, serverSpec(number))
	}
	return state.Intent{ID: createIntent, Operator: "operator-1", Kind: state.IntentCreateService, CreateService: &create}
}

// drawIntent chooses what an operator asks for next. Some reuse an identifier
// that another operator chose, with the same content or with other content.
func (s *simulation) drawIntent(by *operator) (state.Intent, bool) {
	if len(s.intents) > 0 && s.chance(sharedChance) {
		shared := s.intents[len(s.intents)-1-s.random.IntN(min(3, len(s.intents)))]
		if s.chance(otherContent) {
			id := shared.ID
			shared = s.freshIntent()
			shared.ID = id
		}
		shared.Operator = string(by.node)
		s.counts.Races++
		return shared, true
	}
	intent := s.freshIntent()
	intent.ID = state.IntentID(fmt.Sprintf("i%d", len(s.intents)+1))
	intent.Operator = string(by.node)
	s.intents = append(s.intents, intent)
	return intent, true
}

func (s *simulation) freshIntent() state.Intent {
	if s.chance(mergeChance) {
		if intent, found := s.mergeIntent(); found {
			return intent
		}
	}
	switch choice := s.random.IntN(10); {
	case choice < 4:
		to := state.ServerID("")
		if s.chance(0.5) {
			to = serverSpec(1 + s.random.IntN(firstServers)).ID
		}
		return state.Intent{Kind: state.IntentMoveKey, MoveKey: &state.MoveKey{Service: serviceName, Key: s.key(), To: to}}
	case choice < 7:
		return state.Intent{Kind: state.IntentUpdateService, UpdateService: &state.UpdateService{
			Name: serviceName, Settings: serviceSettings(1 + s.random.Int64N(1_000_000)),
		}}
	case choice < 8 && s.retired == 0:
		s.retired++
		return state.Intent{Kind: state.IntentRetireServer, RetireServer: &state.RetireServer{
			Server: serverSpec(1 + s.random.IntN(firstServers)).ID,
		}}
	case choice < 9 && s.added < spareServers:
		s.added++
		return state.Intent{Kind: state.IntentAddServers, AddServers: &state.AddServers{
			Service: serviceName, Servers: []state.ServerSpec{serverSpec(firstServers + s.added)},
		}}
	default:
		return state.Intent{Kind: state.IntentRebalance, Rebalance: &state.Rebalance{Service: serviceName}}
	}
}

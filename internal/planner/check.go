package planner

import (
	"net/netip"
	"regexp"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Bounds of the fields of an intent.
const (
	maxShards         = 1 << 20
	maxServers        = 1024
	maxKeyBytes       = 1024
	maxTimeout        = time.Hour
	maxQueueLimit     = 1 << 16
	maxRequestLimit   = 1 << 20
	maxMovesLimit     = 4096
	maxSlots          = 4096
	maxConnections    = 1 << 16
	maxOperatorLength = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func checkIntent(intent state.Intent) error {
	if err := checkName("intent_id", string(intent.ID)); err != nil {
		return err
	}
	if len(intent.Operator) > maxOperatorLength {
		return fault.Newf(fault.InvalidArgument, "operator: %d bytes are too long: use at most %d", len(intent.Operator), maxOperatorLength)
	}
	if err := checkContent(intent); err != nil {
		return err
	}
	switch intent.Kind {
	case state.IntentCreateService:
		return checkCreateService(*intent.CreateService)
	case state.IntentUpdateService:
		return checkSettings("update_service.settings", intent.UpdateService.Settings)
	case state.IntentAddServers:
		return checkServers("add_servers.servers", intent.AddServers.Servers)
	case state.IntentSetMode:
		return checkSetMode(*intent.SetMode)
	case state.IntentMoveKey:
		return checkKey(intent.MoveKey.Key)
	default:
		return nil
	}
}

// checkContent checks that the field that Kind names is set, and no other.
func checkContent(intent state.Intent) error {
	contents := []struct {
		kind state.IntentKind
		set  bool
	}{
		{state.IntentCreateService, intent.CreateService != nil},
		{state.IntentUpdateService, intent.UpdateService != nil},
		{state.IntentAddServers, intent.AddServers != nil},
		{state.IntentMoveKey, intent.MoveKey != nil},
		{state.IntentRetireServer, intent.RetireServer != nil},
		{state.IntentRebalance, intent.Rebalance != nil},
		{state.IntentSetMode, intent.SetMode != nil},
		{state.IntentMergeShards, intent.MergeShards != nil},
		{state.IntentEvacuateZone, intent.EvacuateZone != nil},
		{state.IntentRestoreZone, intent.RestoreZone != nil},
		{state.IntentRelease, intent.Release != nil},
	}
	for _, content := range contents {
		if content.set != (content.kind == intent.Kind) {
			return fault.Newf(fault.InvalidArgument, "kind: %q needs the field %q and no other intent: send exactly that one", intent.Kind, intent.Kind)
		}
	}
	return nil
}

func checkName(field, value string) error {
	if !namePattern.MatchString(value) {
		return fault.Newf(fault.InvalidArgument, "%s: %q is no valid name: use 1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit", field, value)
	}
	return nil
}

func checkKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return fault.Newf(fault.InvalidArgument, "move_key.key: %d bytes: use 1 to %d bytes", len(key), maxKeyBytes)
	}
	return nil
}

func checkCreateService(request state.CreateService) error {
	if err := checkName("create_service.name", string(request.Name)); err != nil {
		return err
	}
	if err := checkMode(request); err != nil {
		return err
	}
	if request.Keyed && request.Mode != state.ModeObserved && (request.Shards < 1 || request.Shards > maxShards) {
		return fault.Newf(fault.InvalidArgument, "create_service.shards: %d: use 1 to %d for a service with keys", request.Shards, maxShards)
	}
	if !request.Keyed && request.Shards != 0 {
		return fault.Newf(fault.InvalidArgument, "create_service.shards: %d: leave it out for a service without keys", request.Shards)
	}
	if err := checkSettings("create_service.settings", request.Settings); err != nil {
		return err
	}
	return checkServers("create_service.servers", request.Servers)
}

func checkSetMode(request state.SetMode) error {
	if request.Mode != state.ModeObserved && request.Mode != state.ModeManaged {
		return fault.Newf(fault.InvalidArgument, "set_mode.mode: %q: use managed or observed", request.Mode)
	}
	return nil
}

// checkMode checks the mode of a new service and the fields that depend on it.
func checkMode(request state.CreateService) error {
	switch request.Mode {
	case "", state.ModeManaged:
		if !isEmptyMap(request.Map) {
			return fault.New(fault.InvalidArgument, "create_service.map: is for observed services: leave it out, or set mode to observed")
		}
		return nil
	case state.ModeObserved:
		if request.Shards != 0 {
			return fault.Newf(fault.InvalidArgument, "create_service.shards: %d: leave it out, the map gives the shards of an observed service", request.Shards)
		}
		return nil
	default:
		return fault.Newf(fault.InvalidArgument, "create_service.mode: %q: use managed or observed", request.Mode)
	}
}

func checkSettings(field string, settings state.ServiceSettings) error {
	bounds := []struct {
		name       string
		value, low int64
		high       int64
	}{
		{"default_timeout_ms", settings.DefaultTimeoutMs, 1, maxTimeout.Milliseconds()},
		{"queue_limit", int64(settings.QueueLimit), 1, maxQueueLimit},
		{"request_limit", int64(settings.RequestLimit), 1, maxRequestLimit},
		{"max_moves", int64(settings.MaxMoves), 1, maxMovesLimit},
	}
	for _, bound := range bounds {
		if bound.value < bound.low || bound.value > bound.high {
			return fault.Newf(fault.InvalidArgument, "%s.%s: %d: use %d to %d", field, bound.name, bound.value, bound.low, bound.high)
		}
	}
	if settings.RetryRatio < 0 || settings.RetryRatio > 1 {
		return fault.Newf(fault.InvalidArgument, "%s.retry_ratio: %g: use 0 to 1", field, settings.RetryRatio)
	}
	weights := settings.Weights
	if weights.Imbalance < 0 || weights.Churn < 0 || weights.Unavailable < 0 {
		return fault.Newf(fault.InvalidArgument, "%s.weights: negative: use 0 or more", field)
	}
	return checkPlacement(field+".placement", settings.Placement)
}

func checkServers(field string, specs []state.ServerSpec) error {
	if len(specs) > maxServers {
		return fault.Newf(fault.InvalidArgument, "%s: %d entries: use at most %d a plan", field, len(specs), maxServers)
	}
	ids := make(map[state.ServerID]bool, len(specs))
	addresses := make(map[string]state.ServerID, len(specs))
	for _, spec := range specs {
		if err := checkServer(field, spec); err != nil {
			return err
		}
		if ids[spec.ID] {
			return fault.Newf(fault.InvalidArgument, "%s.id: %q stands twice: give each server its own id", field, spec.ID)
		}
		if other, taken := addresses[spec.Address]; taken {
			return fault.Newf(fault.InvalidArgument, "%s.address: %q is given to %q and %q: give each server its own", field, spec.Address, other, spec.ID)
		}
		ids[spec.ID] = true
		addresses[spec.Address] = spec.ID
	}
	return nil
}

func checkServer(field string, spec state.ServerSpec) error {
	if err := checkName(field+".id", string(spec.ID)); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(spec.Address); err != nil {
		return fault.Newf(fault.InvalidArgument, "%s.address: %q is no IP:port: write it like 10.1.2.3:8080", field, spec.Address)
	}
	if err := checkName(field+".zone", spec.Zone); err != nil {
		return err
	}
	if spec.Slots < 1 || spec.Slots > maxSlots {
		return fault.Newf(fault.InvalidArgument, "%s.slots: %d: use 1 to %d", field, spec.Slots, maxSlots)
	}
	if spec.Connections < 1 || spec.Connections > maxConnections {
		return fault.Newf(fault.InvalidArgument, "%s.connections: %d: use 1 to %d", field, spec.Connections, maxConnections)
	}
	return nil
}

package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// directoryApplied notifies the streams and heartbeats of an applied command and logs it.
func (h *host) directoryApplied(index uint64, command directory.Command, result state.Result) {
	entry := telemetry.With(h.log, telemetry.EventDirectoryChanged).WithField(telemetry.FieldIndex, index)
	// Notifies even after an error, since other parts of a batch may have been applied.
	h.instanceChanged.NotifyCommand(command)
	if isUrgent(command) {
		h.feed.urgent.Raise()
	}
	h.directoryChanged.Raise()
	if result.Err != nil {
		entry.WithField(telemetry.FieldError, result.Err.Error()).Info("directory command rejected")
		return
	}
	h.logDirectoryChange(entry, command)
}

// logDirectoryChange logs what a command changed. Only the leader logs the individual instances and key
// owners.
func (h *host) logDirectoryChange(entry *logrus.Entry, command directory.Command) {
	switch {
	case command.Batch != nil:
		for _, each := range command.Batch {
			h.logDirectoryChange(entry, each)
		}
	case command.Patch != nil:
		entry.WithField(telemetry.FieldCount, len(command.Patch.Items)).WithField("items", itemLines(command.Patch.Items)).Info("configuration applied")
	case command.Layout != nil:
		changed := command.Layout.Changed
		entry = entry.WithField(telemetry.FieldService, command.Layout.Service).WithField(telemetry.FieldCount, len(changed))
		if h.published.Load().leading {
			entry = entry.WithField("holdings", holdingLines(changed))
		}
		entry.Info("key assignments changed")
	case command.Zone != nil:
		entry.WithField("zone", command.Zone.Name).WithField("evacuated", command.Zone.Evacuated).Info("zone changed")
	case command.Suspects != nil:
		entry.WithField(telemetry.FieldCount, len(command.Suspects.List)).Info("suspected requests changed")
	case command.Release != nil:
		entry.WithField(telemetry.FieldFingerprint, command.Release.String()).Info("request released from quarantine")
	case command.Throttles != nil:
		entry.WithField(telemetry.FieldService, command.Throttles.Service).WithField("throttles", command.Throttles.Keys).Info("hot keys throttled")
	case len(command.Keepers) > 0:
		entry.WithField("keepers", command.Keepers).Info("place keepers changed")
	case len(command.Relays) > 0:
		entry.WithField(telemetry.FieldCount, len(command.Relays)).Info("relays changed")
	case command.Gateways > 0:
		entry.WithField(telemetry.FieldCount, command.Gateways).Info("gateway count changed")
	case command.Times != nil:
		entry.WithField(telemetry.FieldCount, len(command.Times)).WithField("service_times", serviceTimeLines(command.Times)).Info("service times updated")
	case !h.published.Load().leading:
		// Only the leader logs each instance; otherwise every controller would write a line per
		// instance when all of them register.
		entry.WithField(telemetry.FieldCount, len(command.Instances)).Info("instances changed")
	default:
		for _, instance := range command.Instances {
			entry.WithField(telemetry.FieldServer, instance.ID).WithField(telemetry.FieldService, instance.Service).
				WithField(telemetry.FieldAddress, instance.Address).WithField("state", instance.State).Info("instance changed")
		}
	}
}

// serviceTimeLine is the service time of an instance in a log line.
type serviceTimeLine struct {
	Server        directory.InstanceID `json:"server"`
	ServiceTimeMs int64                `json:"service_time_ms"`
}

func serviceTimeLines(times []directory.InstanceTime) []serviceTimeLine {
	var lines []serviceTimeLine
	for _, each := range times[:min(len(times), maxLoggedItems)] {
		lines = append(lines, serviceTimeLine{each.ID, each.ServiceTime.Milliseconds()})
	}
	return lines
}

// maxLoggedItems bounds the items that a log line lists.
const maxLoggedItems = 8

// itemLine is a version of a configuration item in a log line.
type itemLine struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Dropped bool   `json:"dropped,omitempty"`
}

func itemLines(items []directory.Item) []itemLine {
	var lines []itemLine
	for _, item := range items[:min(len(items), maxLoggedItems)] {
		lines = append(lines, itemLine{Name: item.Key.Name, Version: item.Version, Dropped: item.Dropped})
	}
	return lines
}

// holdingLine is a holding in a log line.
type holdingLine struct {
	First   directory.Key        `json:"first"`
	Last    directory.Key        `json:"last"`
	Fence   directory.Fence      `json:"fence"`
	Owner   directory.InstanceID `json:"owner"`
	Revoked bool                 `json:"revoked,omitempty"`
	Granted bool                 `json:"granted,omitempty"`
}

// maxLoggedHoldings bounds the holdings that a log line lists.
const maxLoggedHoldings = 32

func holdingLines(changed []directory.Holding) []holdingLine {
	var lines []holdingLine
	for _, holding := range changed[:min(len(changed), maxLoggedHoldings)] {
		lines = append(lines, holdingLine{holding.First, holding.Last, holding.Fence, holding.Owner, holding.Revoked, holding.Granted})
	}
	return lines
}

package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// directoryApplied tells the streams and the log of an applied command.
func (h *host) directoryApplied(index uint64, command directory.Command, result state.Result) {
	line := telemetry.With(h.log, telemetry.EventDirectoryChanged).WithField(telemetry.FieldIndex, index)
	// A batch may have an error and parts that were applied all the same.
	h.instanceNews.Applied(command)
	if isUrgent(command) {
		h.feed.urgent.Raise()
	}
	h.directoryChanged.Raise()
	if result.Err != nil {
		line.WithField(telemetry.FieldError, result.Err.Error()).Info("directory command rejected")
		return
	}
	h.logDirectoryChange(line, command)
}

// logDirectoryChange logs what a command changed. Instances and the holders of keys are named by
// the leader alone.
func (h *host) logDirectoryChange(line *logrus.Entry, command directory.Command) {
	switch {
	case command.Batch != nil:
		for _, each := range command.Batch {
			h.logDirectoryChange(line, each)
		}
	case command.Patch != nil:
		line.WithField(telemetry.FieldCount, len(command.Patch.Items)).WithField("items", itemNames(command.Patch.Items)).Info("configuration applied")
	case command.Layout != nil:
		changed := command.Layout.Changed
		line = line.WithField(telemetry.FieldService, command.Layout.Service).WithField(telemetry.FieldCount, len(changed))
		if h.published.Load().leading {
			line = line.WithField("holdings", holdingLines(changed))
		}
		line.Info("key assignments changed")
	case command.Zone != nil:
		line.WithField("zone", command.Zone.Name).WithField("evacuated", command.Zone.Evacuated).Info("zone changed")
	case command.Suspects != nil:
		line.WithField(telemetry.FieldCount, len(command.Suspects.List)).Info("suspected requests changed")
	case command.Release != nil:
		line.WithField(telemetry.FieldFingerprint, command.Release.String()).Info("request released from quarantine")
	case command.Throttles != nil:
		line.WithField(telemetry.FieldService, command.Throttles.Service).WithField("throttles", command.Throttles.Keys).Info("hot keys throttled")
	case len(command.Keepers) > 0:
		line.WithField("keepers", command.Keepers).Info("keepers of places named")
	case command.Gateways > 0:
		line.WithField(telemetry.FieldCount, command.Gateways).Info("gateways counted")
	case command.Times != nil:
		line.WithField(telemetry.FieldCount, len(command.Times)).WithField("service_times", timeLines(command.Times)).Info("service times measured anew")
	case !h.published.Load().leading:
		// The leader names them; a line for each at every controller would be as many as there
		// are instances when all register.
		line.WithField(telemetry.FieldCount, len(command.Instances)).Info("instances changed")
	default:
		for _, instance := range command.Instances {
			line.WithField(telemetry.FieldServer, instance.ID).WithField(telemetry.FieldService, instance.Service).
				WithField(telemetry.FieldAddress, instance.Address).WithField("state", instance.State).Info("instance changed")
		}
	}
}

// timeLine is a service time in a log line.
type timeLine struct {
	Server        directory.InstanceID `json:"server"`
	ServiceTimeMs int64                `json:"service_time_ms"`
}

func timeLines(times []directory.InstanceTime) []timeLine {
	var lines []timeLine
	for _, each := range times[:min(len(times), namedItems)] {
		lines = append(lines, timeLine{each.ID, each.ServiceTime.Milliseconds()})
	}
	return lines
}

// namedItems bounds the items that a log line names.
const namedItems = 8

func itemNames(items []directory.Item) []string {
	var names []string
	for _, item := range items[:min(len(items), namedItems)] {
		names = append(names, item.Key.Name)
	}
	return names
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

// namedHoldings bounds the holdings that a log line tells.
const namedHoldings = 32

func holdingLines(changed []directory.Holding) []holdingLine {
	var lines []holdingLine
	for _, holding := range changed[:min(len(changed), namedHoldings)] {
		lines = append(lines, holdingLine{holding.First, holding.Last, holding.Fence, holding.Owner, holding.Revoked, holding.Granted})
	}
	return lines
}

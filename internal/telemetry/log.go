package telemetry

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Names of the fields that log lines share. A field outside this list belongs
// to one event.
const (
	FieldTime     = "ts"
	FieldLevel    = "level"
	FieldMessage  = "msg"
	FieldEvent    = "event"
	FieldRole     = "role"
	FieldName     = "name"
	FieldError    = "error"
	FieldAddress  = "address"
	FieldTerm     = "term"
	FieldIndex    = "index"
	FieldRevision = "revision"
	FieldService  = "service"
	FieldTenant   = "tenant"
	FieldServer   = "server"
	FieldShard    = "shard"
	FieldEpoch    = "epoch"
	FieldSession  = "session"
	FieldRouter   = "router"
	FieldPlan     = "plan"
	FieldOperator = "operator"
	FieldRequest  = "request_id"
	// FieldFingerprint names the same request under different identifiers.
	FieldFingerprint = "fingerprint"
	FieldKind        = "kind"
	FieldCount       = "count"
	FieldDuration    = "duration_ms"
)

// New returns a logger that writes one JSON object a line to out, each with the
// role and the name of the process. The level is one of debug, info, warning
// and error; any other one counts as info.
func New(role, name, level string, out io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime:  FieldTime,
			logrus.FieldKeyLevel: FieldLevel,
			logrus.FieldKeyMsg:   FieldMessage,
		},
	})
	logger.SetLevel(logrus.InfoLevel)
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger.WithFields(logrus.Fields{FieldRole: role, FieldName: name})
}

// With returns a logger whose lines carry the event.
func With(logger *logrus.Entry, event Event) *logrus.Entry {
	return logger.WithField(FieldEvent, string(event))
}

// WithError returns a logger whose lines carry the event and the error's text
// on one line, without a stack.
func WithError(logger *logrus.Entry, event Event, err error) *logrus.Entry {
	return With(logger, event).WithField(FieldError, eris.ToString(err, false))
}

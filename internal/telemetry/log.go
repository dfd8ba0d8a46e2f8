package telemetry

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Names of the fields that several events share. A field that is not in this list
// is specific to one event.
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
	// FieldFingerprint identifies requests with the same content but different request IDs.
	FieldFingerprint = "fingerprint"
	FieldKind        = "kind"
	FieldCount       = "count"
	FieldDuration    = "duration_ms"
)

// New returns a logger that writes one JSON object per line to out, each with the
// role and the name of the process. The level is a logrus level such as debug,
// info, warning or error; an unknown one means info.
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

// With returns a logger that adds the event to its lines.
func With(logger *logrus.Entry, event Event) *logrus.Entry {
	return logger.WithField(FieldEvent, string(event))
}

// WithError returns a logger that adds the event and the error's text, on one line
// and without a stack trace, to its lines.
func WithError(logger *logrus.Entry, event Event, err error) *logrus.Entry {
	return With(logger, event).WithField(FieldError, eris.ToString(err, false))
}

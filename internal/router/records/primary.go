package records

import (
	"context"
	"errors"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// storeAttempts is how often a store is tried on a connection that broke.
const storeAttempts = 2

// errNoSuchRouter: the table does not name the router in the wanted session.
var errNoSuchRouter = errors.New("the routing table does not name the router")

// handle answers a call of another router, or of this one.
func (s *Service) handle(_ context.Context, call *message.RecordCall) *message.RecordAnswer {
	target := s.partition(call.Partition)
	switch {
	case target == nil, call.Probe:
		return &message.RecordAnswer{Verdict: record.NotPrimary}
	case call.Claim != nil:
		return s.claim(target, *call.Claim)
	case call.Completion != nil:
		return s.complete(target, *call.Completion)
	case call.Store != nil:
		return &message.RecordAnswer{Stored: s.store(target, call.Store)}
	default:
		return &message.RecordAnswer{Verdict: record.NotPrimary}
	}
}

// claim serves a claim as the primary.
func (s *Service) claim(target *held, claim record.Claim) *message.RecordAnswer {
	target.mutex.Lock()
	placed := target.core.Placed()
	verdict, known := target.core.Claim(s.moment(), s.leaseOf(placed.PrimarySession), claim, s.open)
	target.mutex.Unlock()
	switch verdict {
	case record.Granted:
		return s.replicate(target, placed, known, record.Granted)
	case record.AnswerKept:
		return &message.RecordAnswer{Verdict: verdict, Answer: known.Answer}
	default:
		return &message.RecordAnswer{Verdict: verdict}
	}
}

// complete serves a completion as the primary.
func (s *Service) complete(target *held, completion record.Completion) *message.RecordAnswer {
	target.mutex.Lock()
	placed := target.core.Placed()
	verdict, known := target.core.Complete(s.moment(), s.leaseOf(placed.PrimarySession), completion)
	target.mutex.Unlock()
	if verdict != record.Stored {
		return &message.RecordAnswer{Verdict: verdict}
	}
	return s.replicate(target, placed, known, record.Stored)
}

// replicate stores a record on the backup and then checks that this router is
// still the primary at the same epoch and under its lease.
func (s *Service) replicate(target *held, placed state.RecordPartition, changed record.Record, verdict record.Verdict) *message.RecordAnswer {
	if placed.Backup != "" && !s.storeOnBackup(target, placed, []record.Record{changed}) {
		return &message.RecordAnswer{Verdict: record.NotStored}
	}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if !target.core.Confirm(s.moment(), s.leaseOf(placed.PrimarySession), placed.Epoch) {
		return &message.RecordAnswer{Verdict: record.NotStored}
	}
	return &message.RecordAnswer{Verdict: verdict}
}

// storeOnBackup sends records to the backup and reports whether it has them. A
// backup that does not answer is reported to the controllers and not asked
// again at this epoch.
func (s *Service) storeOnBackup(target *held, placed state.RecordPartition, records []record.Record) bool {
	if target.backupFailed(placed.Epoch) {
		return false
	}
	answer, err := s.callBackup(placed, records)
	if err == nil {
		return answer.Stored
	}
	if s.lifetime.Err() != nil || errors.Is(err, errNoSuchRouter) {
		return false
	}
	target.mutex.Lock()
	first := target.failed != placed.Epoch
	if first && target.core.Epoch() == placed.Epoch {
		target.failed = placed.Epoch
		target.failedAt = s.options.Clock.Now()
	}
	target.mutex.Unlock()
	signal(s.reportDue)
	if first {
		telemetry.WithError(s.options.Log, telemetry.EventBackupLost, err).
			WithField("partition", placed.Number).WithField("router", placed.Backup).Warn("the backup does not answer")
	}
	return false
}

func (h *held) backupFailed(epoch state.Epoch) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failed == epoch
}

// callBackup sends records to the backup. Storing is idempotent, so that it is
// sent again after a broken connection.
func (s *Service) callBackup(placed state.RecordPartition, records []record.Record) (message.RecordAnswer, error) {
	var answer message.RecordAnswer
	backup, found := s.options.View().Router(placed.Backup)
	if !found || backup.Session.Number != placed.BackupSession {
		return answer, errNoSuchRouter
	}
	call := &message.RecordCall{Partition: placed.Number, Store: &message.RecordStore{
		Epoch: placed.Epoch, Incarnation: backup.Session.Incarnation, Records: records,
	}}
	ctx, cancel := context.WithTimeout(s.lifetime, s.options.Settings.PeerTimeout)
	defer cancel()
	client, err := s.peers.client(backup, purposeStore)
	for range storeAttempts {
		if err != nil {
			return answer, err
		}
		err = client.Call(ctx, call, &answer)
		if err == nil || errors.Is(err, wire.ErrNoAnswer) {
			return answer, err
		}
	}
	return answer, err
}

// store serves a primary's records as the backup.
func (s *Service) store(target *held, call *message.RecordStore) bool {
	if call.Incarnation != s.options.Self.Session.Incarnation {
		return false
	}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.core.Store(call.Epoch, call.Records)
}

package records

import (
	"context"
	"errors"
	"time"

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

// replicate stores a record on each copy and then checks that this router is
// still the primary at the same epoch and under its lease.
func (s *Service) replicate(target *held, placed state.RecordPartition, changed record.Record, verdict record.Verdict) *message.RecordAnswer {
	for _, copyOf := range copiesOf(placed) {
		if !s.storeOn(target, placed, copyOf, []record.Record{changed}) {
			return &message.RecordAnswer{Verdict: record.NotStored}
		}
	}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if !target.core.Confirm(s.moment(), s.leaseOf(placed.PrimarySession), placed.Epoch) {
		return &message.RecordAnswer{Verdict: record.NotStored}
	}
	return &message.RecordAnswer{Verdict: verdict}
}

// replica is one copy of a partition beside that of the primary.
type replica struct {
	router  state.RouterID
	session state.SessionNumber
	// formerEpoch is the epoch since which it holds every record as the former copy; zero for a
	// backup.
	formerEpoch state.Epoch
}

// copiesOf returns the copies that each change is stored on: the whole one first.
func copiesOf(placed state.RecordPartition) []replica {
	var copies []replica
	if placed.Former != "" {
		copies = append(copies, replica{placed.Former, placed.FormerSession, placed.FormerEpoch})
	}
	if placed.Backup != "" && placed.Backup != placed.Former {
		copies = append(copies, backupOf(placed))
	}
	return copies
}

// backupOf returns the backup of a partition, which may be the former copy as well.
func backupOf(placed state.RecordPartition) replica {
	backup := replica{router: placed.Backup, session: placed.BackupSession}
	if placed.Backup == placed.Former {
		backup.formerEpoch = placed.FormerEpoch
	}
	return backup
}

// storeOn sends records to a copy and reports whether it has them. One that does
// not answer is reported to the controllers and not asked again at this epoch.
func (s *Service) storeOn(target *held, placed state.RecordPartition, receiver replica, records []record.Record) bool {
	if target.hasFailed(placed, receiver) {
		return false
	}
	answer, err := s.callReplica(placed, receiver, records)
	if err == nil {
		return answer.Stored
	}
	if s.lifetime.Err() != nil || errors.Is(err, errNoSuchRouter) {
		return false
	}
	first := target.noteFailed(placed, receiver, s.options.Clock.Now())
	signal(s.reportDue)
	if first {
		telemetry.WithError(s.options.Log, telemetry.EventBackupLost, err).
			WithField("partition", placed.Number).WithField("router", receiver.router).Warn("a copy of the partition does not answer")
	}
	return false
}

func (h *held) hasFailed(placed state.RecordPartition, receiver replica) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return receiver.router == placed.Backup && h.failed == placed.Epoch || receiver.formerEpoch > 0 && h.failedFormer == placed.Epoch
}

// noteFailed notes a copy that does not answer, and reports whether that is news.
func (h *held) noteFailed(placed state.RecordPartition, receiver replica, now time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.core.Epoch() != placed.Epoch {
		return false
	}
	first := false
	if receiver.router == placed.Backup && h.failed != placed.Epoch {
		h.failed, h.failedAt, first = placed.Epoch, now, true
	}
	if receiver.formerEpoch > 0 && h.failedFormer != placed.Epoch {
		h.failedFormer, h.formerFailedAt, first = placed.Epoch, now, true
	}
	return first
}

// callReplica sends records to a copy. Storing is idempotent, so that it is
// sent again after a broken connection.
func (s *Service) callReplica(placed state.RecordPartition, receiver replica, records []record.Record) (message.RecordAnswer, error) {
	var answer message.RecordAnswer
	router, found := s.options.View().Router(receiver.router)
	if !found || router.Session.Number != receiver.session {
		return answer, errNoSuchRouter
	}
	call := &message.RecordCall{Partition: placed.Number, Store: &message.RecordStore{
		Epoch: placed.Epoch, Former: receiver.formerEpoch, Incarnation: router.Session.Incarnation, Records: records,
	}}
	ctx, cancel := context.WithTimeout(s.lifetime, s.options.Settings.PeerTimeout)
	defer cancel()
	client, err := s.peers.client(router, purposeStore)
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
	return target.core.Store(call.Epoch, call.Former, call.Records)
}

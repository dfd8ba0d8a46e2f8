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

// storeAttempts is the number of attempts to store records if the connection breaks.
const storeAttempts = 2

// errNoSuchRouter is returned if the table does not list the router with the expected session.
var errNoSuchRouter = errors.New("routing table does not list the router with the expected session")

// handle answers a call from another router or from this one.
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

// claim handles a claim as the primary.
func (s *Service) claim(target *localPartition, claim record.Claim) *message.RecordAnswer {
	target.mutex.Lock()
	placed := target.core.Placed()
	verdict, stored := target.core.Claim(s.moment(), s.leaseEndOf(placed.PrimarySession), claim, s.sessionMayBeOpen)
	target.mutex.Unlock()
	switch verdict {
	case record.Granted:
		return s.replicate(target, placed, stored, record.Granted)
	case record.AnswerKept:
		return &message.RecordAnswer{Verdict: verdict, Answer: stored.Answer}
	default:
		return &message.RecordAnswer{Verdict: verdict}
	}
}

// complete handles a completion as the primary.
func (s *Service) complete(target *localPartition, completion record.Completion) *message.RecordAnswer {
	target.mutex.Lock()
	placed := target.core.Placed()
	verdict, stored := target.core.Complete(s.moment(), s.leaseEndOf(placed.PrimarySession), completion)
	target.mutex.Unlock()
	if verdict != record.Stored {
		return &message.RecordAnswer{Verdict: verdict}
	}
	return s.replicate(target, placed, stored, record.Stored)
}

// replicate stores a record on each copy and then checks that this router is still the
// primary at the same epoch with a valid lease.
func (s *Service) replicate(target *localPartition, placed state.RecordPartition, changed record.Record, verdict record.Verdict) *message.RecordAnswer {
	for _, receiver := range copiesOf(placed) {
		if !s.storeOn(target, placed, receiver, []record.Record{changed}) {
			return &message.RecordAnswer{Verdict: record.NotStored}
		}
	}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if !target.core.Confirm(s.moment(), s.leaseEndOf(placed.PrimarySession), placed.Epoch) {
		return &message.RecordAnswer{Verdict: record.NotStored}
	}
	return &message.RecordAnswer{Verdict: verdict}
}

// replica is a copy of a partition on a router other than the primary.
type replica struct {
	router  state.RouterID
	session state.SessionNumber
	// formerEpoch is the epoch since which the former copy has held every record; zero for
	// a backup.
	formerEpoch state.Epoch
}

// copiesOf returns the copies that must store each change: the former copy, which is complete, first.
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

// backupOf returns the backup of a partition, which may also be the former copy.
func backupOf(placed state.RecordPartition) replica {
	backup := replica{router: placed.Backup, session: placed.BackupSession}
	if placed.Backup == placed.Former {
		backup.formerEpoch = placed.FormerEpoch
	}
	return backup
}

// storeOn sends records to a copy and reports whether it holds them. A copy that does not
// answer is reported to the controllers and not asked again at this epoch.
func (s *Service) storeOn(target *localPartition, placed state.RecordPartition, receiver replica, records []record.Record) bool {
	if target.hasFailed(placed, receiver) {
		return false
	}
	answer, err := s.callReplica(placed, receiver, records)
	if err == nil {
		return answer.Stored
	}
	if s.runContext.Err() != nil || errors.Is(err, errNoSuchRouter) {
		return false
	}
	isNew := target.noteFailed(placed, receiver, s.options.Clock.Now())
	signal(s.reportDue)
	if isNew {
		telemetry.WithError(s.options.Log, telemetry.EventBackupLost, err).
			WithField("partition", placed.Number).WithField("router", receiver.router).Warn("a copy of the record partition does not answer")
	}
	return false
}

func (p *localPartition) hasFailed(placed state.RecordPartition, receiver replica) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return receiver.router == placed.Backup && p.failed == placed.Epoch || receiver.formerEpoch > 0 && p.failedFormer == placed.Epoch
}

// noteFailed records that a copy does not answer and reports whether this was not known before.
func (p *localPartition) noteFailed(placed state.RecordPartition, receiver replica, now time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.core.Epoch() != placed.Epoch {
		return false
	}
	isNew := false
	if receiver.router == placed.Backup && p.failed != placed.Epoch {
		p.failed, p.failedAt, isNew = placed.Epoch, now, true
	}
	if receiver.formerEpoch > 0 && p.failedFormer != placed.Epoch {
		p.failedFormer, p.formerFailedAt, isNew = placed.Epoch, now, true
	}
	return isNew
}

// callReplica sends records to a copy. Storing is idempotent, so the call is resent after
// a broken connection.
func (s *Service) callReplica(placed state.RecordPartition, receiver replica, records []record.Record) (message.RecordAnswer, error) {
	var answer message.RecordAnswer
	router, found := s.options.View().Router(receiver.router)
	if !found || router.Session.Number != receiver.session {
		return answer, errNoSuchRouter
	}
	call := &message.RecordCall{Partition: placed.Number, Store: &message.RecordStore{
		Epoch: placed.Epoch, Former: receiver.formerEpoch, Incarnation: router.Session.Incarnation, Records: records,
	}}
	ctx, cancel := context.WithTimeout(s.runContext, s.options.Settings.PeerTimeout)
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

// store handles records from a primary as the backup.
func (s *Service) store(target *localPartition, call *message.RecordStore) bool {
	if call.Incarnation != s.options.Self.Session.Incarnation {
		return false
	}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.core.Store(call.Epoch, call.Former, call.Records)
}

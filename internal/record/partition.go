package record

import (
	"container/heap"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Partition is one router's copy of one partition of the records. It is not
// safe for concurrent use.
type Partition struct {
	settings Settings
	self     state.RouterID
	role     Role
	// placed is the newest placement that this router has seen.
	placed state.RecordPartition
	// epoch is the highest epoch that this router knows, from the routing table or
	// from a primary.
	epoch   state.Epoch
	records map[Key]*Record
	// byAge is a heap of the keys, oldest first.
	byAge keyHeap
	// answerBytes is the total size of the kept answers.
	answerBytes int
	// maxWallMs is the highest wall clock reading so far, so that setting the clock
	// back does not make expired keys acceptable again.
	maxWallMs int64
}

// NewPartition returns an empty partition without a role.
func NewPartition(self state.RouterID, settings Settings) *Partition {
	return &Partition{settings: settings, self: self, records: make(map[Key]*Record)}
}

// Role returns the router's role at the epoch that Epoch returns.
func (p *Partition) Role() Role { return p.role }

// Epoch returns the highest epoch that this router knows.
func (p *Partition) Epoch() state.Epoch { return p.epoch }

// Placed returns the newest placement that this router has seen.
func (p *Partition) Placed() state.RecordPartition { return p.placed }

// Len returns the number of records.
func (p *Partition) Len() int { return len(p.records) }

// Place applies the placement from the routing table, given the number of the
// router's open session, zero for none. It reports whether the role or the epoch
// changed. Records are kept only by a router that was primary or backup and is now
// primary, by a backup at an unchanged epoch, and by the former copy, which is a
// backup that already holds every record.
func (p *Partition) Place(placed state.RecordPartition, session state.SessionNumber) bool {
	if placed.Epoch < p.epoch {
		return false
	}
	role := roleOf(placed, p.self, session)
	changed := placed.Epoch != p.epoch || role != p.role
	keep := role == RolePrimary && p.role != RoleNone
	keep = keep || (role == RoleBackup && p.role == RoleBackup && placed.Epoch == p.epoch)
	keep = keep || (role == RoleBackup && placed.Former == p.self && p.completeSince(placed.FormerEpoch))
	if changed && !keep {
		p.clear()
	}
	p.role = role
	p.epoch = placed.Epoch
	p.placed = placed
	return changed
}

// completeSince reports whether this router has held a copy of every record since the given epoch.
func (p *Partition) completeSince(epoch state.Epoch) bool {
	return p.role != RoleNone && p.epoch >= epoch
}

func roleOf(placed state.RecordPartition, self state.RouterID, session state.SessionNumber) Role {
	switch {
	case session == 0:
		return RoleNone
	case placed.Primary == self && placed.PrimarySession == session:
		return RolePrimary
	case placed.Backup == self && placed.BackupSession == session, placed.Former == self && placed.FormerSession == session:
		return RoleBackup
	default:
		return RoleNone
	}
}

func (p *Partition) clear() {
	p.records = make(map[Key]*Record)
	p.byAge = nil
	p.answerBytes = 0
}

// isActivePrimary reports whether this router may answer as the primary. The end of
// the lease is a time on the router's own monotonic clock.
func (p *Partition) isActivePrimary(now Moment, leaseEnd time.Duration) bool {
	return p.role == RolePrimary && p.placed.Epoch == p.epoch && now.Now < leaseEnd
}

// Confirm reports whether a record that the backup stored at an epoch counts: this
// router must still be the primary at that epoch and hold a valid lease.
func (p *Partition) Confirm(now Moment, leaseEnd time.Duration, epoch state.Epoch) bool {
	return p.epoch == epoch && p.isActivePrimary(now, leaseEnd)
}

// Claim decides on a claim at the primary. With Granted it returns the record, which
// must be stored on the backup and confirmed before the attempt may run; with
// AnswerKept it returns the record that holds the answer. The function sessionOpen
// reports whether a router's session may still be open.
func (p *Partition) Claim(now Moment, leaseEnd time.Duration, claim Claim, sessionOpen func(state.RouterID, state.SessionNumber) bool) (Verdict, Record) {
	if !p.isActivePrimary(now, leaseEnd) {
		return NotPrimary, Record{}
	}
	p.Expire(now)
	existing, found := p.records[claim.Key]
	if found {
		verdict := checkRecord(existing, claim, sessionOpen)
		if verdict != Granted {
			return verdict, *existing
		}
	}
	if verdict := p.checkAge(claim.Key); verdict != Granted {
		return verdict, Record{}
	}
	if !found && len(p.records) >= p.settings.MaxRecords {
		return Full, Record{}
	}
	if found && existing.Status == Running {
		return Granted, *existing
	}
	return Granted, p.update(claim, Running, nil)
}

// checkRecord returns the verdict on a claim given the existing record of its key.
func checkRecord(existing *Record, claim Claim, sessionOpen func(state.RouterID, state.SessionNumber) bool) Verdict {
	sameAttempt := existing.Attempt == claim.Attempt
	switch {
	case existing.Fingerprint != claim.Fingerprint:
		return ContentDiffers
	case existing.Status == Released && sameAttempt:
		return AttemptOver
	case existing.Status == Released, existing.Status == Running && sameAttempt:
		return Granted
	case existing.Status == Running && sessionOpen(existing.Router, existing.Session):
		return InProgress
	case existing.Status == Completed:
		return AnswerKept
	default:
		return OutcomeUnknown
	}
}

func (p *Partition) checkAge(key Key) Verdict {
	generatedMs := key.UnixMs()
	switch {
	case generatedMs < p.placed.LostBefore:
		return RecordsLost
	case generatedMs > p.maxWallMs+ClockSkew.Milliseconds():
		return FromFuture
	case p.maxWallMs-generatedMs > p.settings.maxAgeMs():
		return TooOld
	default:
		return Granted
	}
}

// Complete records how an attempt ended. With Stored it returns the record to send to
// the backup. The record of a later attempt is left unchanged.
func (p *Partition) Complete(now Moment, leaseEnd time.Duration, completion Completion) (Verdict, Record) {
	if !p.isActivePrimary(now, leaseEnd) {
		return NotPrimary, Record{}
	}
	p.Expire(now)
	claim := completion.Claim
	existing, found := p.records[claim.Key]
	if found && existing.Attempt != claim.Attempt {
		return AttemptOver, *existing
	}
	if found && existing.Status == completion.Status {
		return Stored, *existing
	}
	if !found && p.maxWallMs-claim.Key.UnixMs() > p.settings.retentionMs() {
		return TooOld, Record{}
	}
	if !found && len(p.records) >= p.settings.MaxRecords {
		return Full, Record{}
	}
	return Stored, p.update(claim, completion.Status, completion.Answer)
}

// update writes a new version of a record and returns a copy of it.
func (p *Partition) update(claim Claim, status Status, answer *Answer) Record {
	next := Record{
		Key: claim.Key, Fingerprint: claim.Fingerprint, Version: p.firstVersion(), Status: status,
		Attempt: claim.Attempt, Router: claim.Router, Session: claim.Session, Answer: answer,
	}
	if existing, found := p.records[claim.Key]; found {
		next.Version = max(next.Version, existing.Version+1)
	}
	if answer != nil && p.answerBytes+answer.size() > p.settings.MaxAnswerBytes {
		next.Answer = &Answer{Status: answer.Status, Omitted: true}
	}
	p.put(next)
	return next
}

// versionBits is the number of low bits of a record's version that count its changes within one epoch.
const versionBits = 32

// firstVersion returns the lowest version that is written at the current epoch. It is higher than every
// version that an earlier primary wrote, including those that it could not store on its backup before it
// became the former copy.
func (p *Partition) firstVersion() uint64 { return uint64(p.epoch)<<versionBits + 1 }

func (p *Partition) put(next Record) {
	existing, found := p.records[next.Key]
	if found {
		p.answerBytes -= existing.Answer.size()
	} else {
		heap.Push(&p.byAge, next.Key)
	}
	p.answerBytes += next.Answer.size()
	p.records[next.Key] = &next
}

// Expire deletes records whose keys every router rejects as too old.
func (p *Partition) Expire(now Moment) {
	p.maxWallMs = max(p.maxWallMs, now.UnixMs)
	for len(p.byAge) > 0 && p.maxWallMs-p.byAge[0].UnixMs() > p.settings.retentionMs() {
		oldest := heap.Pop(&p.byAge).(Key)
		p.answerBytes -= p.records[oldest].Answer.size()
		delete(p.records, oldest)
	}
}

// Store takes records from the primary at an epoch and reports whether this router
// now holds them. An epoch higher than the known one makes the router a new backup,
// which starts empty unless it is the former copy. For the former copy, formerEpoch
// is the epoch since which it has held every record; for others it is zero.
func (p *Partition) Store(epoch, formerEpoch state.Epoch, records []Record) bool {
	if epoch < p.epoch || (epoch == p.epoch && p.role != RoleBackup) {
		return false
	}
	if epoch > p.epoch {
		if formerEpoch == 0 {
			p.clear()
		} else if !p.completeSince(formerEpoch) {
			return false
		}
		p.role = RoleBackup
		p.epoch = epoch
	}
	for _, next := range records {
		existing, found := p.records[next.Key]
		if found && existing.Version >= next.Version {
			continue
		}
		p.put(next)
	}
	return true
}

// Keys returns the keys of all records, for the transfer to a new backup.
func (p *Partition) Keys() []Key {
	return append([]Key(nil), p.byAge...)
}

// Records returns the current versions of the first keys, and the keys that remain.
// It skips keys deleted in the meantime, and stops at maxRecords records or about
// maxBytes bytes of answers.
func (p *Partition) Records(keys []Key, maxRecords, maxBytes int) ([]Record, []Key) {
	var records []Record
	bytes := 0
	for len(keys) > 0 && len(records) < maxRecords && bytes < maxBytes {
		if existing, found := p.records[keys[0]]; found {
			records = append(records, *existing)
			bytes += existing.Answer.size()
		}
		keys = keys[1:]
	}
	return records, keys
}

// keyHeap is a heap with the oldest key first.
type keyHeap []Key

// Len implements heap.Interface.
func (h keyHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h keyHeap) Less(i, j int) bool { return h[i].UnixMs() < h[j].UnixMs() }

// Swap implements heap.Interface.
func (h keyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *keyHeap) Push(key any) { *h = append(*h, key.(Key)) }

// Pop implements heap.Interface.
func (h *keyHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

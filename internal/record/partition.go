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
	// placed is the newest placement that this router saw.
	placed state.RecordPartition
	// epoch is the highest that this router knows, from the routing table or
	// from a primary.
	epoch   state.Epoch
	records map[Key]*Record
	// ages orders the keys by when they were drawn.
	ages keyHeap
	// answerBytes is the size of all kept answers.
	answerBytes int
	// newestMs is the highest wall clock reading, so that a clock that is set
	// back does not make old keys young.
	newestMs int64
}

// NewPartition returns an empty partition without a role.
func NewPartition(self state.RouterID, settings Settings) *Partition {
	return &Partition{settings: settings, self: self, records: make(map[Key]*Record)}
}

// Role returns the router's role at Epoch.
func (p *Partition) Role() Role { return p.role }

// Epoch returns the highest epoch that this router knows.
func (p *Partition) Epoch() state.Epoch { return p.epoch }

// Placed returns the newest placement that this router saw.
func (p *Partition) Placed() state.RecordPartition { return p.placed }

// Len returns the number of records.
func (p *Partition) Len() int { return len(p.records) }

// Place takes over the placement in the routing table, given the number of the
// router's open session, zero for none. It reports whether the role or the
// epoch changed. Records are kept only by a router that was primary or backup
// before and is primary now, by a backup of the same epoch, and by the former
// copy, which is a backup that holds every record already.
func (p *Partition) Place(placed state.RecordPartition, session state.SessionNumber) bool {
	if placed.Epoch < p.epoch {
		return false
	}
	role := roleOf(placed, p.self, session)
	changed := placed.Epoch != p.epoch || role != p.role
	keep := role == RolePrimary && p.role != RoleNone
	keep = keep || (role == RoleBackup && p.role == RoleBackup && placed.Epoch == p.epoch)
	keep = keep || (role == RoleBackup && placed.Former == p.self && p.heldSince(placed.FormerEpoch))
	if changed && !keep {
		p.clear()
	}
	p.role = role
	p.epoch = placed.Epoch
	p.placed = placed
	return changed
}

// heldSince reports whether this router has had a copy of every record since an epoch.
func (p *Partition) heldSince(epoch state.Epoch) bool { return p.role != RoleNone && p.epoch >= epoch }

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
	p.ages = nil
	p.answerBytes = 0
}

// acts reports whether this router may answer as the primary. The lease ends
// on the router's own monotonic clock.
func (p *Partition) acts(now Moment, leaseEnd time.Duration) bool {
	return p.role == RolePrimary && p.placed.Epoch == p.epoch && now.Now < leaseEnd
}

// Confirm reports whether a record that was stored on the backup at an epoch
// counts: the router must still be the primary at that epoch, under its lease.
func (p *Partition) Confirm(now Moment, leaseEnd time.Duration, epoch state.Epoch) bool {
	return p.epoch == epoch && p.acts(now, leaseEnd)
}

// Claim decides on a claim at the primary. With Granted comes the record, which
// must be stored on the backup, and confirmed, before the attempt may run; with
// AnswerKept comes the record that holds the answer. The function open reports
// whether a router's session may still be open.
func (p *Partition) Claim(now Moment, leaseEnd time.Duration, claim Claim, open func(state.RouterID, state.SessionNumber) bool) (Verdict, Record) {
	if !p.acts(now, leaseEnd) {
		return NotPrimary, Record{}
	}
	p.Expire(now)
	known, found := p.records[claim.Key]
	if found {
		verdict := judge(known, claim, open)
		if verdict != Granted {
			return verdict, *known
		}
	}
	if verdict := p.judgeAge(claim.Key); verdict != Granted {
		return verdict, Record{}
	}
	if !found && len(p.records) >= p.settings.MaxRecords {
		return Full, Record{}
	}
	if found && known.Status == Running {
		return Granted, *known
	}
	return Granted, p.change(claim, Running, nil)
}

// judge decides by the record that is held for the key.
func judge(known *Record, claim Claim, open func(state.RouterID, state.SessionNumber) bool) Verdict {
	own := known.Attempt == claim.Attempt
	switch {
	case known.Fingerprint != claim.Fingerprint:
		return ContentDiffers
	case known.Status == Released && own:
		return AttemptOver
	case known.Status == Released, known.Status == Running && own:
		return Granted
	case known.Status == Running && open(known.Router, known.Session):
		return InProgress
	case known.Status == Completed:
		return AnswerKept
	default:
		return OutcomeUnknown
	}
}

func (p *Partition) judgeAge(key Key) Verdict {
	drawn := key.UnixMs()
	switch {
	case drawn < p.placed.LostBefore:
		return RecordsLost
	case drawn > p.newestMs+ClockSkew.Milliseconds():
		return FromFuture
	case p.newestMs-drawn > p.settings.maxAgeMs():
		return TooOld
	default:
		return Granted
	}
}

// Complete records how an attempt ended. With Stored comes the record for the
// backup. What another attempt did since is left as it is.
func (p *Partition) Complete(now Moment, leaseEnd time.Duration, completion Completion) (Verdict, Record) {
	if !p.acts(now, leaseEnd) {
		return NotPrimary, Record{}
	}
	p.Expire(now)
	claim := completion.Claim
	known, found := p.records[claim.Key]
	if found && known.Attempt != claim.Attempt {
		return AttemptOver, *known
	}
	if found && known.Status == completion.Status {
		return Stored, *known
	}
	if !found && p.newestMs-claim.Key.UnixMs() > p.settings.keptMs() {
		return TooOld, Record{}
	}
	if !found && len(p.records) >= p.settings.MaxRecords {
		return Full, Record{}
	}
	return Stored, p.change(claim, completion.Status, completion.Answer)
}

// change writes a new version of a record and returns a copy.
func (p *Partition) change(claim Claim, status Status, answer *Answer) Record {
	next := Record{
		Key: claim.Key, Fingerprint: claim.Fingerprint, Version: p.firstVersion(), Status: status,
		Attempt: claim.Attempt, Router: claim.Router, Session: claim.Session, Answer: answer,
	}
	if known, found := p.records[claim.Key]; found {
		next.Version = max(next.Version, known.Version+1)
	}
	if answer != nil && p.answerBytes+answer.size() > p.settings.MaxAnswerBytes {
		next.Answer = &Answer{Status: answer.Status, Omitted: true}
	}
	p.put(next)
	return next
}

// versionBits are those of a record's version that count its changes within one epoch.
const versionBits = 32

// firstVersion is the lowest version that is written at the present epoch: above all that an earlier
// primary wrote, also what it could not store on its backup before it became the former copy.
func (p *Partition) firstVersion() uint64 { return uint64(p.epoch)<<versionBits + 1 }

func (p *Partition) put(next Record) {
	known, found := p.records[next.Key]
	if found {
		p.answerBytes -= known.Answer.size()
	} else {
		heap.Push(&p.ages, next.Key)
	}
	p.answerBytes += next.Answer.size()
	p.records[next.Key] = &next
}

// Expire forgets records whose keys every router refuses for their age.
func (p *Partition) Expire(now Moment) {
	p.newestMs = max(p.newestMs, now.UnixMs)
	for len(p.ages) > 0 && p.newestMs-p.ages[0].UnixMs() > p.settings.keptMs() {
		oldest := heap.Pop(&p.ages).(Key)
		p.answerBytes -= p.records[oldest].Answer.size()
		delete(p.records, oldest)
	}
}

// Store takes records from the primary at an epoch and reports whether this
// router holds them now. A higher epoch than the known one makes the router a
// new backup, which begins with nothing, unless it is the former copy: formerEpoch
// is then the epoch since which it holds every record, and zero for others.
func (p *Partition) Store(epoch, formerEpoch state.Epoch, records []Record) bool {
	if epoch < p.epoch || (epoch == p.epoch && p.role != RoleBackup) {
		return false
	}
	if epoch > p.epoch {
		if formerEpoch == 0 {
			p.clear()
		} else if !p.heldSince(formerEpoch) {
			return false
		}
		p.role = RoleBackup
		p.epoch = epoch
	}
	for _, next := range records {
		known, found := p.records[next.Key]
		if found && known.Version >= next.Version {
			continue
		}
		p.put(next)
	}
	return true
}

// Keys returns the keys of all records, for the transfer to a new backup.
func (p *Partition) Keys() []Key {
	return append([]Key(nil), p.ages...)
}

// Records returns the present versions of the first keys, without those
// forgotten meanwhile, up to a number of records and about as many bytes of
// answers, and the keys that are left.
func (p *Partition) Records(keys []Key, maxRecords, maxBytes int) ([]Record, []Key) {
	var records []Record
	bytes := 0
	for len(keys) > 0 && len(records) < maxRecords && bytes < maxBytes {
		if known, found := p.records[keys[0]]; found {
			records = append(records, *known)
			bytes += known.Answer.size()
		}
		keys = keys[1:]
	}
	return records, keys
}

// keyHeap has the oldest key first.
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

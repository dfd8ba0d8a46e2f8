package records

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// partitionAnswerBytes bounds the kept answers of one partition.
const partitionAnswerBytes = 32 << 20

// failedHold is how long a router that no other answers keeps to itself that a
// backup failed: the fault is rather its own, and the backup may take over.
const failedHold = time.Second

// Options are what a Service needs.
type Options struct {
	// Self is the router, with its incarnation.
	Self     state.Router
	Settings config.Records
	Clock    clock.Clock
	Log      *logrus.Entry
	// View returns the routing table in force.
	View func() *table.Table
	// Dial opens connections to other routers; nil means plain TCP.
	Dial wire.DialFunc
}

// Service is one router's share of the idempotency records. It is safe for
// concurrent use.
type Service struct {
	options Options
	peers   *peers
	prober  *prober
	// reportDue gets a token when the controllers should hear something soon.
	reportDue chan struct{}
	// syncDue gets a token when a transfer to a backup may be due.
	syncDue chan struct{}
	// lifetime ends with Run; calls to backups depend on it alone.
	lifetime context.Context
	end      context.CancelFunc

	mutex      sync.RWMutex
	partitions []*held
	// session is the router's open session by the table, zero for none.
	session state.SessionNumber
	// follows is the revision of the table that every partition follows.
	follows state.Revision
	// leaseSession and leaseEnd are of the newest lease.
	leaseSession state.SessionNumber
	leaseEnd     time.Duration
	leaving      bool
	stoppedAt    time.Duration
	stopped      bool
	farewell     chan struct{}
}

// held is one partition with its lock.
type held struct {
	number int
	mutex  sync.Mutex
	core   *record.Partition
	// synced is the epoch at which the backup got every record.
	synced state.Epoch
	// failed is the epoch at which the backup did not answer.
	failed state.Epoch
	// failedAt is when that was found out.
	failedAt time.Duration
	// failedFormer is the epoch at which the former copy did not answer, found out at formerFailedAt.
	failedFormer   state.Epoch
	formerFailedAt time.Duration
}

// New returns a Service that holds nothing yet.
func New(options Options) *Service {
	service := &Service{
		options: options, reportDue: make(chan struct{}, 1), syncDue: make(chan struct{}, 1),
		farewell: make(chan struct{}),
	}
	service.lifetime, service.end = context.WithCancel(context.Background())
	service.peers = newPeers(service)
	service.prober = newProber(service)
	return service
}

// moment reads both clocks.
func (s *Service) moment() record.Moment {
	return record.Moment{Now: s.options.Clock.Now(), UnixMs: time.Now().UnixMilli()}
}

// Session returns the router's open session, zero for none.
func (s *Service) Session() state.SessionNumber {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.session
}

// TableChanged takes over the placement from a new version of the table. Calls
// must follow each other in the order of the versions.
func (s *Service) TableChanged() {
	view := s.options.View()
	session := s.openSession(view)
	s.mutex.Lock()
	s.session = session
	for number := len(s.partitions); number < view.Partitions(); number++ {
		s.partitions = append(s.partitions, &held{number: number, core: s.newPartition()})
	}
	partitions := s.partitions
	s.mutex.Unlock()
	for _, each := range partitions {
		placed, found := view.Partition(each.number)
		if found {
			s.place(each, *placed, session)
		}
	}
	s.mutex.Lock()
	s.follows = view.Revision()
	s.mutex.Unlock()
	signal(s.syncDue)
}

func (s *Service) newPartition() *record.Partition {
	return record.NewPartition(s.options.Self.ID, record.Settings{
		Lifetime: s.options.Settings.Lifetime, MaxRecords: s.options.Settings.MaxPerPartition,
		MaxAnswerBytes: partitionAnswerBytes,
	})
}

func (s *Service) openSession(view *table.Table) state.SessionNumber {
	self, found := view.Router(s.options.Self.ID)
	if !found || !self.Session.Open || self.Session.Incarnation != s.options.Self.Session.Incarnation {
		return 0
	}
	return self.Session.Number
}

func (s *Service) place(each *held, placed state.RecordPartition, session state.SessionNumber) {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	before := each.core.Role()
	if !each.core.Place(placed, session) {
		return
	}
	after := each.core.Role()
	log := s.options.Log.WithField("partition", each.number).WithField("epoch", placed.Epoch)
	if after == record.RolePrimary && before != record.RolePrimary {
		telemetry.With(log, telemetry.EventPrimaryBegan).Info("primary of a record partition")
	}
	if before == record.RolePrimary && after != record.RolePrimary {
		telemetry.With(log, telemetry.EventPrimaryEnded).Info("no longer primary of a record partition")
	}
}

// partition returns one partition, or nil while the table has none such.
func (s *Service) partition(number int) *held {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if number < 0 || number >= len(s.partitions) {
		return nil
	}
	return s.partitions[number]
}

func (s *Service) all() []*held {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.partitions
}

// Renew takes the lease in a pong.
func (s *Service) Renew(pong message.Pong) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		if time.Duration(pong.SentNs) >= s.stoppedAt {
			s.sayFarewell()
		}
		return
	}
	if pong.Session < s.leaseSession || pong.LeaseNs <= 0 {
		return
	}
	end := time.Duration(pong.SentNs + pong.LeaseNs)
	if pong.Session > s.leaseSession {
		s.leaseSession = pong.Session
		s.leaseEnd = end
	}
	s.leaseEnd = max(s.leaseEnd, end)
}

func (s *Service) sayFarewell() {
	select {
	case <-s.farewell:
	default:
		close(s.farewell)
	}
}

// leaseOf returns when the lease of the router's session ends, zero when it has
// none. A lease of another session says nothing about partitions of this one.
func (s *Service) leaseOf(session state.SessionNumber) time.Duration {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if s.stopped || session != s.leaseSession {
		return 0
	}
	return s.leaseEnd
}

// open reports whether a router's session may still be open. The table may lag,
// so a session that it does not know yet counts as open.
func (s *Service) open(router state.RouterID, session state.SessionNumber) bool {
	known, found := s.options.View().Router(router)
	if !found || known.Session.Number < session {
		return true
	}
	return known.Session.Number == session && known.Session.Open
}

// ReportDue gets a token when a ping should go out soon.
func (s *Service) ReportDue() <-chan struct{} { return s.reportDue }

// Report adds to a ping what the controllers should know. The ping's SentNs
// must have been read before.
func (s *Service) Report(ping *message.Ping) {
	s.mutex.RLock()
	ping.Leaving = s.leaving
	ping.Stopped = s.stopped
	// A table is in force once the partitions follow it too.
	ping.Revision = min(ping.Revision, s.follows)
	s.mutex.RUnlock()
	ping.KeepsFormers = true
	ping.Unreachable = s.prober.unreachable()
	failedBefore := s.options.Clock.Now()
	if s.prober.alone() {
		failedBefore -= failedHold
	}
	for _, each := range s.all() {
		each.report(ping, failedBefore)
	}
}

// report tells of a failed copy only if that was found out before a time.
func (h *held) report(ping *message.Ping, failedBefore time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.core.Role() != record.RolePrimary {
		return
	}
	epoch := h.core.Epoch()
	at := message.PartitionSync{Number: h.number, Epoch: epoch}
	if h.synced == epoch && !h.core.Placed().BackupSynced {
		ping.SyncedPartitions = append(ping.SyncedPartitions, at)
	}
	if h.failed == epoch && h.failedAt <= failedBefore {
		ping.FailedBackups = append(ping.FailedBackups, at)
	}
	if h.failedFormer == epoch && h.core.Placed().Former != "" && h.formerFailedAt <= failedBefore {
		ping.FailedFormers = append(ping.FailedFormers, at)
	}
}

// Records returns how many records this router holds, and of how many
// partitions it is the primary.
func (s *Service) Records() (records, primaries int) {
	for _, each := range s.all() {
		each.mutex.Lock()
		records += each.core.Len()
		if each.core.Role() == record.RolePrimary {
			primaries++
		}
		each.mutex.Unlock()
	}
	return records, primaries
}

func signal(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

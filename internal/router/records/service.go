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

// partitionAnswerBytes is the maximum total size of the answers kept in one partition.
const partitionAnswerBytes = 32 << 20

// failureReportDelay is how long a router that no other router answers delays reporting
// a failed backup: the fault is more likely its own, and the backup may take over.
const failureReportDelay = time.Second

// Options are the dependencies and settings of a Service.
type Options struct {
	// Self is this router, with its incarnation.
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
	// reportDue receives a token when a ping should be sent to the controllers soon.
	reportDue chan struct{}
	// syncDue receives a token when a transfer to a backup may be due.
	syncDue chan struct{}
	// runContext is canceled when Run ends; calls to backups depend on it alone.
	runContext context.Context
	cancelRun  context.CancelFunc

	mutex      sync.RWMutex
	partitions []*localPartition
	// session is the router's open session according to the table, zero for none.
	session state.SessionNumber
	// followedRevision is the revision of the table that every partition has applied.
	followedRevision state.Revision
	// leaseSession and leaseEnd belong to the newest lease.
	leaseSession     state.SessionNumber
	leaseEnd         time.Duration
	leaving          bool
	stoppedAt        time.Duration
	stopped          bool
	stopAcknowledged chan struct{}
}

// localPartition is this router's copy of a partition with its lock.
type localPartition struct {
	number int
	mutex  sync.Mutex
	core   *record.Partition
	// synced is the epoch at which the backup received every record.
	synced state.Epoch
	// failed is the epoch at which the backup failed to answer.
	failed state.Epoch
	// failedAt is when this failure was detected.
	failedAt time.Duration
	// failedFormer is the epoch at which the former copy failed to answer, detected at formerFailedAt.
	failedFormer   state.Epoch
	formerFailedAt time.Duration
}

// New returns a Service without any partitions.
func New(options Options) *Service {
	service := &Service{
		options: options, reportDue: make(chan struct{}, 1), syncDue: make(chan struct{}, 1),
		stopAcknowledged: make(chan struct{}),
	}
	service.runContext, service.cancelRun = context.WithCancel(context.Background())
	service.peers = newPeers(service)
	service.prober = newProber(service)
	return service
}

// moment returns a reading of both clocks.
func (s *Service) moment() record.Moment {
	return record.Moment{Now: s.options.Clock.Now(), UnixMs: time.Now().UnixMilli()}
}

// Session returns the router's open session, zero for none.
func (s *Service) Session() state.SessionNumber {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.session
}

// PeerConnections returns the number of open connections of other routers.
func (s *Service) PeerConnections() int { return s.peers.server.Connections() }

// TableChanged applies the placements of a new version of the table. Calls must be made
// in the order of the versions.
func (s *Service) TableChanged() {
	view := s.options.View()
	session := s.openSession(view)
	s.mutex.Lock()
	s.session = session
	for number := len(s.partitions); number < view.Partitions(); number++ {
		s.partitions = append(s.partitions, &localPartition{number: number, core: s.newPartition()})
	}
	partitions := s.partitions
	s.mutex.Unlock()
	for _, local := range partitions {
		placed, found := view.Partition(local.number)
		if found {
			s.place(local, *placed, session)
		}
	}
	s.mutex.Lock()
	s.followedRevision = view.Revision()
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

func (s *Service) place(local *localPartition, placed state.RecordPartition, session state.SessionNumber) {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	before := local.core.Role()
	if !local.core.Place(placed, session) {
		return
	}
	after := local.core.Role()
	log := s.options.Log.WithField("partition", local.number).WithField("epoch", placed.Epoch)
	if after == record.RolePrimary && before != record.RolePrimary {
		telemetry.With(log, telemetry.EventPrimaryBegan).Info("became primary of a record partition")
	}
	if before == record.RolePrimary && after != record.RolePrimary {
		telemetry.With(log, telemetry.EventPrimaryEnded).Info("no longer primary of a record partition")
	}
}

// partition returns the partition with this number, or nil if the table does not have it.
func (s *Service) partition(number int) *localPartition {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if number < 0 || number >= len(s.partitions) {
		return nil
	}
	return s.partitions[number]
}

func (s *Service) allPartitions() []*localPartition {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.partitions
}

// Renew processes the lease in a pong.
func (s *Service) Renew(pong message.Pong) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		if time.Duration(pong.SentNs) >= s.stoppedAt {
			s.acknowledgeStop()
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

func (s *Service) acknowledgeStop() {
	select {
	case <-s.stopAcknowledged:
	default:
		close(s.stopAcknowledged)
	}
}

// leaseEndOf returns when the lease of the given session ends, zero if there is none. A
// lease of another session says nothing about partitions placed in this one.
func (s *Service) leaseEndOf(session state.SessionNumber) time.Duration {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if s.stopped || session != s.leaseSession {
		return 0
	}
	return s.leaseEnd
}

// sessionMayBeOpen reports whether a router's session may still be open. The table may lag,
// so a session that it does not list yet counts as open.
func (s *Service) sessionMayBeOpen(router state.RouterID, session state.SessionNumber) bool {
	known, found := s.options.View().Router(router)
	if !found || known.Session.Number < session {
		return true
	}
	return known.Session.Number == session && known.Session.Open
}

// ReportDue returns the channel that receives a token when a ping should be sent soon.
func (s *Service) ReportDue() <-chan struct{} { return s.reportDue }

// Report adds this router's status to a ping. The ping's SentNs must have been read
// before.
func (s *Service) Report(ping *message.Ping) {
	s.mutex.RLock()
	ping.Leaving = s.leaving
	ping.Stopped = s.stopped
	// A table is in force only once the partitions follow it as well.
	ping.Revision = min(ping.Revision, s.followedRevision)
	s.mutex.RUnlock()
	ping.KeepsFormers = true
	ping.Unreachable = s.prober.unreachable()
	failedBefore := s.options.Clock.Now()
	if s.prober.isolated() {
		failedBefore -= failureReportDelay
	}
	for _, local := range s.allPartitions() {
		local.report(ping, failedBefore)
	}
}

// report adds the partition's status to a ping, and its failed copies if they failed by failedBefore.
func (p *localPartition) report(ping *message.Ping, failedBefore time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.core.Role() != record.RolePrimary {
		return
	}
	epoch := p.core.Epoch()
	key := message.PartitionSync{Number: p.number, Epoch: epoch}
	if p.synced == epoch && !p.core.Placed().BackupSynced {
		ping.SyncedPartitions = append(ping.SyncedPartitions, key)
	}
	if p.failed == epoch && p.failedAt <= failedBefore {
		ping.FailedBackups = append(ping.FailedBackups, key)
	}
	if p.failedFormer == epoch && p.core.Placed().Former != "" && p.formerFailedAt <= failedBefore {
		ping.FailedFormers = append(ping.FailedFormers, key)
	}
}

// Records returns the number of records on this router and the number of partitions of
// which it is the primary.
func (s *Service) Records() (records, primaries int) {
	for _, local := range s.allPartitions() {
		local.mutex.Lock()
		records += local.core.Len()
		if local.core.Role() == record.RolePrimary {
			primaries++
		}
		local.mutex.Unlock()
	}
	return records, primaries
}

func signal(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

package records

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// syncInterval is the longest time between two looks at what is to be
	// transferred and what has expired.
	syncInterval = 200 * time.Millisecond
	// syncWorkers bounds the transfers at the same time.
	syncWorkers = 4
	// batchRecords and batchBytes bound one part of a transfer.
	batchRecords = 256
	batchBytes   = 1 << 20
)

// Run serves other routers on the listener, which it owns, and keeps the
// backups whole, until the context ends.
func (s *Service) Run(ctx context.Context, listener net.Listener) error {
	var group conc.WaitGroup
	group.Go(func() { s.keepSynced(ctx) })
	group.Go(func() { s.prober.run(ctx) })
	err := s.peers.serve(ctx, listener)
	s.end()
	s.peers.close()
	group.Wait()
	return err
}

func (s *Service) keepSynced(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.syncDue:
		}
		workers := pool.New().WithMaxGoroutines(syncWorkers)
		for _, each := range s.all() {
			if s.tidy(each) {
				workers.Go(func() { s.transfer(each) })
			}
		}
		workers.Wait()
	}
}

// tidy forgets expired records and reports whether the backup lacks records.
func (s *Service) tidy(each *held) bool {
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.core.Expire(s.moment())
	if each.core.Role() != record.RolePrimary || each.core.Placed().Backup == "" {
		return false
	}
	epoch := each.core.Epoch()
	return each.synced != epoch && each.failed != epoch
}

// transfer sends every record to the backup, in parts. Records that change
// meanwhile go to the backup by themselves, in a higher version.
func (s *Service) transfer(each *held) {
	each.mutex.Lock()
	placed := each.core.Placed()
	keys := each.core.Keys()
	each.mutex.Unlock()
	for first := true; first || len(keys) > 0; first = false {
		part, left, current := each.part(keys, placed.Epoch)
		if !current || !s.storeOn(each, placed, backupOf(placed), part) {
			return
		}
		keys = left
	}
	each.mutex.Lock()
	defer each.mutex.Unlock()
	if each.core.Epoch() != placed.Epoch || each.failed == placed.Epoch {
		return
	}
	each.synced = placed.Epoch
	signal(s.reportDue)
	telemetry.With(s.options.Log, telemetry.EventBackupSynced).WithField("partition", placed.Number).
		WithField("router", placed.Backup).Info("the backup holds every record")
}

// part returns the next part of a transfer, unless the epoch is over.
func (h *held) part(keys []record.Key, epoch state.Epoch) ([]record.Record, []record.Key, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.core.Epoch() != epoch {
		return nil, nil, false
	}
	part, left := h.core.Records(keys, batchRecords, batchBytes)
	return part, left, true
}

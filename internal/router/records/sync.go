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
	// syncInterval is the maximum time between two checks for due transfers and expired
	// records.
	syncInterval = 200 * time.Millisecond
	// syncWorkers is the maximum number of concurrent transfers.
	syncWorkers = 4
	// batchRecords and batchBytes limit one batch of a transfer.
	batchRecords = 256
	batchBytes   = 1 << 20
)

// Run serves other routers on the listener, which it owns, and keeps the backups in sync
// until the context ends.
func (s *Service) Run(ctx context.Context, listener net.Listener) error {
	var group conc.WaitGroup
	group.Go(func() { s.keepSynced(ctx) })
	group.Go(func() { s.prober.run(ctx) })
	err := s.peers.serve(ctx, listener)
	s.cancelRun()
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
		for _, local := range s.allPartitions() {
			if s.expireAndCheckBackup(local) {
				workers.Go(func() { s.transfer(local) })
			}
		}
		workers.Wait()
	}
}

// expireAndCheckBackup deletes expired records and reports whether the backup needs a transfer.
func (s *Service) expireAndCheckBackup(local *localPartition) bool {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	local.core.Expire(s.moment())
	if local.core.Role() != record.RolePrimary || local.core.Placed().Backup == "" {
		return false
	}
	epoch := local.core.Epoch()
	return local.synced != epoch && local.failed != epoch
}

// transfer sends every record to the backup in batches. Records that change in the
// meantime are stored on the backup separately, with a higher version.
func (s *Service) transfer(local *localPartition) {
	local.mutex.Lock()
	placed := local.core.Placed()
	keys := local.core.Keys()
	local.mutex.Unlock()
	for first := true; first || len(keys) > 0; first = false {
		batch, remaining, current := local.nextBatch(keys, placed.Epoch)
		if !current || !s.storeOn(local, placed, backupOf(placed), batch) {
			return
		}
		keys = remaining
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if local.core.Epoch() != placed.Epoch || local.failed == placed.Epoch {
		return
	}
	local.synced = placed.Epoch
	signal(s.reportDue)
	telemetry.With(s.options.Log, telemetry.EventBackupSynced).WithField("partition", placed.Number).
		WithField("router", placed.Backup).Info("backup holds every record of the partition")
}

// nextBatch returns the next batch of a transfer and the remaining keys, or false if the epoch is over.
func (p *localPartition) nextBatch(keys []record.Key, epoch state.Epoch) ([]record.Record, []record.Key, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.core.Epoch() != epoch {
		return nil, nil, false
	}
	batch, remaining := p.core.Records(keys, batchRecords, batchBytes)
	return batch, remaining, true
}

package checker

import (
	"sort"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// AppliedEntry is one log entry that a replica applied.
type AppliedEntry struct {
	Replica string
	Index   uint64
	Term    uint64
	// Content is a digest of the entry's kind and data.
	Content uint64
	// Table and Digest are the routing table's revision and digest afterwards.
	Table  state.Revision
	Digest uint64
	// Changed are the objects that the entry changed.
	Changed []state.Object
}

type entryContent struct {
	term, content, digest uint64
	table                 state.Revision
}

type shardEpoch struct {
	shard state.ShardID
	epoch state.Epoch
}

// tableChange says when a table revision was first applied by any replica.
type tableChange struct {
	at       time.Duration
	revision state.Revision
}

type logChecker struct {
	leaders map[uint64]string
	entries map[uint64]entryContent
	// owners has the server that each epoch of a shard was first given to.
	owners  map[shardEpoch]state.ServerID
	changes []tableChange
	// acknowledged is the highest index whose effect someone was told of.
	acknowledged uint64
	acknowledges string
}

func newLogChecker() logChecker {
	return logChecker{
		leaders: make(map[uint64]string),
		entries: make(map[uint64]entryContent),
		owners:  make(map[shardEpoch]state.ServerID),
	}
}

// Leader records that a replica leads a term.
func (c *Checker) Leader(term uint64, replica string) {
	known, found := c.log.leaders[term]
	if found && known != replica {
		c.Fail(OneLeader, "term %d has the leaders %s and %s", term, known, replica)
	}
	c.log.leaders[term] = replica
}

// Applied records an applied entry. Every replica must apply the same entry at
// an index, and reach the same routing table by it.
func (c *Checker) Applied(entry AppliedEntry) {
	content := entryContent{term: entry.Term, content: entry.Content, digest: entry.Digest, table: entry.Table}
	known, found := c.log.entries[entry.Index]
	if found {
		if known != content {
			c.Fail(LogAgreement, "%s applies another entry at index %d, or reaches another table by it", entry.Replica, entry.Index)
		}
		return
	}
	c.log.entries[entry.Index] = content
	if len(entry.Changed) > 0 {
		c.log.changes = append(c.log.changes, tableChange{at: c.now(), revision: entry.Table})
	}
	for _, object := range entry.Changed {
		if object.Shard != nil {
			c.shardChanged(*object.Shard)
		}
	}
}

// shardChanged checks that an epoch is given to one owner only.
func (c *Checker) shardChanged(shard state.Shard) {
	if shard.Owner == "" {
		return
	}
	period := shardEpoch{shard.ID, shard.Epoch}
	owner, found := c.log.owners[period]
	if found && owner != shard.Owner {
		c.Fail(EpochContent, "shard %d epoch %d is given to %s after %s", shard.ID, shard.Epoch, shard.Owner, owner)
	}
	c.log.owners[period] = shard.Owner
}

// Restored records that a replica took a snapshot.
func (c *Checker) Restored(replica string, index uint64, table state.Revision, digest uint64) {
	known, found := c.log.entries[index]
	if found && (known.table != table || known.digest != digest) {
		c.Fail(LogAgreement, "%s takes a snapshot at index %d with another table", replica, index)
	}
}

// Acknowledged records that someone was told of the effect of an entry.
func (c *Checker) Acknowledged(index uint64, what string) {
	if index > c.log.acknowledged {
		c.log.acknowledged = index
		c.log.acknowledges = what
	}
}

// MustHold checks that a replica which begins to lead, or which stands at the
// end of the run, holds every acknowledged entry.
func (c *Checker) MustHold(replica string, applied uint64) {
	if applied < c.log.acknowledged {
		c.Fail(Durability, "%s holds the log up to index %d, but index %d was acknowledged (%s)",
			replica, applied, c.log.acknowledged, c.log.acknowledges)
	}
}

// Read checks a table revision that a quorum confirmed as current for a request
// that was made at the given time.
func (c *Checker) Read(replica string, asked time.Duration, revision state.Revision) {
	if least := c.tableAt(asked); revision < least {
		c.Fail(CurrentRead, "%s confirms revision %d, but %d was committed before the read was asked for", replica, revision, least)
	}
}

// tableAt returns the newest table revision that any replica had applied
// before the given time.
func (c *Checker) tableAt(at time.Duration) state.Revision {
	after := sort.Search(len(c.log.changes), func(i int) bool { return c.log.changes[i].at >= at })
	if after == 0 {
		return 0
	}
	return c.log.changes[after-1].revision
}

// Promise is what a replica told others that it holds.
type Promise struct {
	Replica string
	Term    uint64
	Vote    uint64
	Index   uint64
}

// Recovered checks what a replica read from its disk against its promise.
func (c *Checker) Recovered(promise, recovered Promise) {
	switch {
	case recovered.Term < promise.Term:
		c.Fail(Durability, "%s starts in term %d after it had told of term %d", promise.Replica, recovered.Term, promise.Term)
	case recovered.Term == promise.Term && promise.Vote != 0 && recovered.Vote != promise.Vote:
		c.Fail(Durability, "%s forgot its vote in term %d", promise.Replica, promise.Term)
	case recovered.Term == promise.Term && recovered.Index < promise.Index:
		c.Fail(Durability, "%s starts at index %d after it had acknowledged %d", promise.Replica, recovered.Index, promise.Index)
	}
}

package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// MaxPlans limits the number of stored plans; the oldest are discarded first. A
// Receipt is kept of each discarded plan, to answer retries of its intent.
const MaxPlans = 4096

// State is the whole replicated state. It is not safe for concurrent use.
type State struct {
	revision Revision
	digest   uint64
	sections SectionDigests
	// differences holds, for each section, the XOR of its digest before the current
	// command and its present digest.
	differences SectionDigests
	nextShard   ShardID
	services    map[ServiceName]*Service
	servers     map[ServerID]*Server
	shards      map[ShardID]*Shard
	routers     map[RouterID]*Router
	partitions  map[int]*RecordPartition
	plans       map[PlanID]*Plan
	planOrder   []PlanID
	receipts    receipts
	// shardsByRange lists each service's shards, sorted by range.
	shardsByRange map[ServiceName][]ShardID
	// owned indexes the shards by their owner.
	owned map[ServerID]map[ShardID]*Shard
	// assignmentVersions holds, for each server, the revision at which the set of shards
	// that it may serve last changed.
	assignmentVersions map[ServerID]Revision
	// active indexes the shards that the controllers must act on: unowned,
	// revoking, or owned with a target.
	active activeIndex
	totals totals
	// directory is the state by which gateways route requests; the digests do
	// not cover it.
	directory *directory.Directory
}

// New returns the empty state.
func New() *State {
	return &State{
		nextShard:          1,
		sections:           make(SectionDigests),
		differences:        make(SectionDigests),
		services:           make(map[ServiceName]*Service),
		servers:            make(map[ServerID]*Server),
		shards:             make(map[ShardID]*Shard),
		routers:            make(map[RouterID]*Router),
		partitions:         make(map[int]*RecordPartition),
		plans:              make(map[PlanID]*Plan),
		receipts:           newReceipts(),
		shardsByRange:      make(map[ServiceName][]ShardID),
		owned:              make(map[ServerID]map[ShardID]*Shard),
		assignmentVersions: make(map[ServerID]Revision),
		active:             newActiveIndex(),
		totals:             newTotals(),
		directory:          directory.New(),
	}
}

// Result is the outcome of Apply.
type Result struct {
	// Changed lists the routing-visible objects that changed, in order.
	Changed []Object
	// Differences is, for each section that changed, the XOR of its digests before
	// and after the command.
	Differences SectionDigests
	// Plan is the stored plan, for StorePlan and ConfirmPlan.
	Plan *Plan
	// Err is the reason why the command did not change the routing table.
	Err *fault.Error
}

// Revision returns the revision of the newest routing-visible change.
func (s *State) Revision() Revision { return s.revision }

// Digest returns the digest of the routing table at Revision.
func (s *State) Digest() uint64 { return s.digest }

// SectionDigests returns a copy of the digests of the sections at Revision.
func (s *State) SectionDigests() SectionDigests { return maps.Clone(s.sections) }

// Service returns a copy of a service.
func (s *State) Service(name ServiceName) (Service, bool) {
	service, found := s.services[name]
	if !found {
		return Service{}, false
	}
	return *service, true
}

// Server returns a copy of a server.
func (s *State) Server(id ServerID) (Server, bool) {
	server, found := s.servers[id]
	if !found {
		return Server{}, false
	}
	return *server, true
}

// Shard returns a copy of a shard.
func (s *State) Shard(id ShardID) (Shard, bool) {
	shard, found := s.shards[id]
	if !found {
		return Shard{}, false
	}
	return *shard, true
}

// Router returns a copy of a router.
func (s *State) Router(id RouterID) (Router, bool) {
	router, found := s.routers[id]
	if !found {
		return Router{}, false
	}
	return *router, true
}

// Partition returns a copy of a record partition.
func (s *State) Partition(number int) (RecordPartition, bool) {
	partition, found := s.partitions[number]
	if !found {
		return RecordPartition{}, false
	}
	return *partition, true
}

// Plan returns a copy of a stored plan.
func (s *State) Plan(id PlanID) (Plan, bool) {
	plan, found := s.plans[id]
	if !found {
		return Plan{}, false
	}
	return *plan, true
}

// Services returns all services, sorted by name.
func (s *State) Services() []Service {
	return sortedValues(s.services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// Servers returns all servers, sorted by identifier.
func (s *State) Servers() []Server {
	return sortedValues(s.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// Routers returns all routers, sorted by identifier.
func (s *State) Routers() []Router {
	return sortedValues(s.routers, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
}

// Partitions returns all record partitions, sorted by number.
func (s *State) Partitions() []RecordPartition {
	return sortedValues(s.partitions, func(a, b RecordPartition) int { return cmp.Compare(a.Number, b.Number) })
}

// Plans returns the stored plans, oldest first.
func (s *State) Plans() []Plan {
	plans := make([]Plan, 0, len(s.planOrder))
	for _, id := range s.planOrder {
		plans = append(plans, *s.plans[id])
	}
	return plans
}

// ServersOf returns the servers of one service, sorted by identifier.
func (s *State) ServersOf(service ServiceName) []Server {
	var servers []Server
	for _, server := range s.servers {
		if server.Service == service {
			servers = append(servers, *server)
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// ShardsOf returns a service's shards, sorted by range.
func (s *State) ShardsOf(service ServiceName) []Shard {
	ids := s.shardsByRange[service]
	shards := make([]Shard, 0, len(ids))
	for _, id := range ids {
		shards = append(shards, *s.shards[id])
	}
	return shards
}

// ShardCount returns the number of shards of a service.
func (s *State) ShardCount(service ServiceName) int {
	return len(s.shardsByRange[service])
}

// ShardAt returns the shard of a service whose range contains a key hash.
func (s *State) ShardAt(service ServiceName, hash uint64) (Shard, bool) {
	ids := s.shardsByRange[service]
	position, _ := slices.BinarySearchFunc(ids, hash, func(id ShardID, hash uint64) int {
		return cmp.Compare(s.shards[id].Range.Last, hash)
	})
	if position == len(ids) {
		return Shard{}, false
	}
	shard := s.shards[ids[position]]
	return *shard, shard.Range.Contains(hash)
}

// ShardsWithin returns a service's shards that lie entirely within a range, sorted
// by range.
func (s *State) ShardsWithin(service ServiceName, keys KeyRange) []Shard {
	ids := s.shardsByRange[service]
	start, _ := s.rangePosition(service, keys.First)
	var shards []Shard
	for _, id := range ids[start:] {
		shard := s.shards[id]
		if shard.Range.Last > keys.Last {
			break
		}
		shards = append(shards, *shard)
	}
	return shards
}

// Unsettled returns a shard of the service that is not owned, has a pending move, or
// whose owner has no open session, if there is one. Owners in an observed service
// need no session.
func (s *State) Unsettled(service ServiceName) (ShardID, bool) {
	observed := s.isObserved(service)
	for _, id := range s.shardsByRange[service] {
		shard := s.shards[id]
		owner := s.servers[shard.Owner]
		settled := shard.Phase == ShardOwned && shard.Target == "" && owner != nil
		if !settled || (!observed && !owner.Session.Open) {
			return id, true
		}
	}
	return 0, false
}

// isObserved reports whether the service's ownership is imported from the team's own
// scripts (ModeObserved).
func (s *State) isObserved(service ServiceName) bool {
	known, found := s.services[service]
	return found && known.Mode == ModeObserved
}

// OwnedBy returns the shards that a server owns, including revoking ones, sorted by
// identifier.
func (s *State) OwnedBy(server ServerID) []Shard {
	owned := make([]*Shard, 0, len(s.owned[server]))
	for _, shard := range s.owned[server] {
		owned = append(owned, shard)
	}
	slices.SortFunc(owned, func(a, b *Shard) int { return cmp.Compare(a.ID, b.ID) })
	shards := make([]Shard, 0, len(owned))
	for _, shard := range owned {
		shards = append(shards, *shard)
	}
	return shards
}

// OwnedCount returns the number of shards that a server owns, including revoking ones.
func (s *State) OwnedCount(server ServerID) int {
	return len(s.owned[server])
}

// AssignmentVersion returns the revision at which the set of shards that a
// server may serve last changed.
func (s *State) AssignmentVersion(server ServerID) Revision {
	return s.assignmentVersions[server]
}

func (s *State) shardsByID(ids map[ShardID]struct{}) []Shard {
	sorted := make([]ShardID, 0, len(ids))
	for id := range ids {
		sorted = append(sorted, id)
	}
	slices.Sort(sorted)
	shards := make([]Shard, 0, len(sorted))
	for _, id := range sorted {
		shards = append(shards, *s.shards[id])
	}
	return shards
}

func sortedValues[K comparable, V any](objects map[K]*V, compare func(a, b V) int) []V {
	values := make([]V, 0, len(objects))
	for _, object := range objects {
		values = append(values, *object)
	}
	slices.SortFunc(values, compare)
	return values
}

package record

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	testLifetime = 20 * time.Second
	testLease    = 2 * time.Second
	testRate     = 0.01
	testSteps    = 4000
	testKeys     = 4
	startMs      = int64(1_800_000_000_000)
)

// testView is one version of the routing table.
type testView struct {
	revision   state.Revision
	partitions []state.RecordPartition
	routers    map[state.RouterID]state.Router
}

// testRouter is one router process; a killed one is replaced by a new one.
type testRouter struct {
	identity state.Router
	core     *Partition
	view     int
	lease    map[state.SessionNumber]time.Duration
	synced   state.Epoch
	failed   state.Epoch
	// failedFormer is the epoch at which the former copy failed to answer.
	failedFormer state.Epoch
	// rate and skew describe the machine's clocks.
	rate float64
	skew time.Duration
	dead bool
	// cutOff is until when the router is disconnected from the controllers.
	cutOff time.Duration
}

// testAttempt is one attempt of an entry router.
type testAttempt struct {
	claim  Claim
	entry  *testRouter
	active bool
	// ran is true once the attempt was dispatched, unless it is proven not to have run.
	ran bool
	end Status
}

// testCluster runs partitions and a placement under random delays, losses, restarts and
// clock differences. Each delayed step waits in events.
type testCluster struct {
	random    *rand.Rand
	now       time.Duration
	state     *state.State
	index     uint64
	placement *Placement
	views     []testView
	routers   []*testRouter
	attempts  []*testAttempt
	keys      []Key
	events    []func()
	slow      []slowEvent
	failure   string
	grants    int
	kept      int
	lost      int
	moves     int
	// formers counts the record changes stored on a former copy.
	formers int
	serial  int
	// skew is the offset of the controllers' wall clock.
	skew time.Duration
}

// slowEvent is a step that a pause or a slow network delays for a long time.
type slowEvent struct {
	due  time.Duration
	step func()
}

func newTestCluster(seed uint64) *testCluster {
	c := &testCluster{random: rand.New(rand.NewPCG(seed, 1)), state: state.New()}
	c.placement = NewPlacement(PlacementSettings{Count: 1, LeaseDuration: testLease, ClockRateBound: testRate, Margin: 10 * time.Millisecond})
	c.placement.Lead(c.now)
	c.skew = time.Duration(c.random.Int64N(int64(ClockSkew))) - ClockSkew/2
	c.snapshot()
	for number := range 3 {
		c.routers = append(c.routers, c.newRouter(state.RouterID(fmt.Sprintf("router-%d", number))))
	}
	for range testKeys {
		c.keys = append(c.keys, c.newKey())
	}
	return c
}

func (c *testCluster) newRouter(id state.RouterID) *testRouter {
	c.serial++
	return &testRouter{
		identity: state.Router{ID: id, PeerAddress: "peer", Session: state.Session{Incarnation: fmt.Sprint(c.serial)}},
		core:     NewPartition(id, Settings{Lifetime: testLifetime, MaxRecords: 100, MaxAnswerBytes: 1 << 10}),
		lease:    make(map[state.SessionNumber]time.Duration),
		rate:     1 + (c.random.Float64()-0.5)*testRate,
		skew:     time.Duration(c.random.Int64N(int64(ClockSkew))) - ClockSkew/2,
	}
}

func (c *testCluster) newKey() Key {
	var key Key
	generatedMs := startMs + (c.now + time.Duration(c.random.Int64N(int64(ClockSkew))) - ClockSkew/2).Milliseconds()
	binary.BigEndian.PutUint64(key[:8], uint64(generatedMs)<<16)
	binary.BigEndian.PutUint64(key[8:], c.random.Uint64())
	return key
}

func (c *testCluster) snapshot() {
	view := testView{revision: c.state.Revision(), partitions: c.state.Partitions(), routers: make(map[state.RouterID]state.Router)}
	for _, router := range c.state.Routers() {
		view.routers[router.ID] = router
	}
	c.views = append(c.views, view)
}

func (c *testCluster) moment(r *testRouter) Moment {
	return Moment{Now: time.Duration(float64(c.now) * r.rate), UnixMs: startMs + (c.now + r.skew).Milliseconds()}
}

// deliverLater delays a step, or drops it.
func (c *testCluster) deliverLater(step func()) {
	switch draw := c.random.IntN(60); {
	case draw < 2:
	case draw < 3:
		c.slow = append(c.slow, slowEvent{due: c.now + c.longTime(), step: step})
	default:
		c.events = append(c.events, step)
	}
}

func (c *testCluster) longTime() time.Duration {
	return time.Duration(c.random.Int64N(int64(25 * time.Second)))
}

func (c *testCluster) randomRouter() *testRouter { return c.routers[c.random.IntN(len(c.routers))] }

func (c *testCluster) step() {
	c.now += time.Duration(c.random.Int64N(int64(30 * time.Millisecond)))
	c.queueDueSlowEvents()
	for range 2 {
		if len(c.events) > 0 && c.random.IntN(4) > 0 {
			c.runEvent()
		}
	}
	switch draw := c.random.IntN(1000); {
	case draw < 200:
		c.leaderTick()
	case draw < 500:
		c.sendPing(c.randomRouter())
	case draw < 700:
		c.advanceView(c.randomRouter())
	case draw < 800:
		c.begin(c.randomRouter())
	case draw < 900:
		c.endOrResend()
	case draw < 989:
		for _, router := range c.routers {
			c.sync(router)
		}
	case draw < 993:
		c.keys[c.random.IntN(testKeys)] = c.newKey()
	case draw < 995:
		c.kill()
	case draw < 996:
		c.placement.Lead(c.now)
	case draw < 997:
		c.randomRouter().cutOff = c.now + c.longTime()
	case draw < 998:
		c.now += time.Duration(c.random.Int64N(int64(4 * time.Second)))
	}
}

func (c *testCluster) queueDueSlowEvents() {
	waiting := c.slow[:0]
	for _, event := range c.slow {
		if event.due > c.now {
			waiting = append(waiting, event)
			continue
		}
		c.events = append(c.events, event.step)
	}
	c.slow = waiting
}

func (c *testCluster) runEvent() {
	position := c.random.IntN(min(len(c.events), 6))
	event := c.events[position]
	if c.random.IntN(15) > 0 {
		// Otherwise the step stays queued and runs again, like a message delivered twice.
		c.events = slices.Delete(c.events, position, position+1)
	}
	event()
}

// leaderTick applies the commands of the placement. Each command may be lost.
func (c *testCluster) leaderTick() {
	moment := Moment{Now: c.now, UnixMs: startMs + (c.now + c.skew).Milliseconds()}
	before := len(c.placement.cutOffMoves)
	commands := c.placement.Tick(moment, c.state)
	c.moves += len(c.placement.cutOffMoves) - before
	if command, due := c.balance(moment); due {
		commands = append(commands, command)
	}
	for _, command := range commands {
		if c.random.IntN(10) == 0 {
			continue
		}
		c.index++
		c.state.Apply(c.index, command)
		c.snapshot()
	}
}

// balance occasionally moves a role, as happens where routers have several partitions.
func (c *testCluster) balance(moment Moment) (state.Command, bool) {
	partitions := c.state.Partitions()
	if len(partitions) == 0 || !partitions[0].BackupSynced || c.random.IntN(20) > 0 {
		return state.Command{}, false
	}
	placed := partitions[0]
	round := c.placement.newRound(moment, c.state)
	if !round.sessionOpen(placed.Primary, placed.PrimarySession) || !round.sessionOpen(placed.Backup, placed.BackupSession) {
		return state.Command{}, false
	}
	primary, backup := holder{placed.Primary, placed.PrimarySession}, holder{placed.Backup, placed.BackupSession}
	next, former := round.replaceBackup(placed), backup
	if c.random.IntN(2) == 0 {
		next, former = round.promote(placed, backup), primary
	}
	next = round.withFormer(next, former, placed.Epoch)
	return state.Command{PutPartitions: &state.PutPartitions{Partitions: []state.RecordPartition{next}}}, true
}

func (c *testCluster) sendPing(r *testRouter) {
	if c.now < r.cutOff {
		return
	}
	sent := c.moment(r).Now
	report := Report{Leaving: c.random.IntN(200) == 0}
	key := PartitionEpoch{Number: 0, Epoch: r.core.Epoch()}
	if r.core.Role() == RolePrimary && r.synced == key.Epoch {
		report.Synced = append(report.Synced, key)
	}
	if r.core.Role() == RolePrimary && r.failed == key.Epoch {
		report.Failed = append(report.Failed, key)
	}
	if r.core.Role() == RolePrimary && r.failedFormer == key.Epoch {
		report.FailedFormers = append(report.FailedFormers, key)
	}
	report.Unreachable = c.reportedUnreachable(r)
	report.Revision = c.views[r.view].revision
	c.deliverLater(func() {
		session, lease := c.placement.HandlePing(c.now, r.identity, report, c.state)
		c.deliverLater(func() {
			if lease > 0 {
				r.lease[session] = max(r.lease[session], sent+lease)
			}
		})
	})
}

// reportedUnreachable returns the routers that a router reports as unreachable, correctly or not:
// most others report the same router for a while, and any router may report a random one.
func (c *testCluster) reportedUnreachable(r *testRouter) []state.RouterID {
	var unreachable []state.RouterID
	const reportedTime = 6 * time.Second
	reportedByMost := c.routers[int(c.now/reportedTime)%len(c.routers)].identity.ID
	if int(c.now/reportedTime)%3 > 0 && reportedByMost != r.identity.ID {
		unreachable = append(unreachable, reportedByMost)
	}
	if c.random.IntN(20) == 0 {
		unreachable = append(unreachable, c.randomRouter().identity.ID)
	}
	return unreachable
}

// advanceView lets a router see a later version of the table, not always the newest one.
func (c *testCluster) advanceView(r *testRouter) {
	if c.now < r.cutOff {
		return
	}
	r.view += c.random.IntN(len(c.views) - r.view)
	view := c.views[r.view]
	if len(view.partitions) > 0 {
		r.core.Place(view.partitions[0], r.session(view))
	}
}

func (r *testRouter) session(view testView) state.SessionNumber {
	self := view.routers[r.identity.ID]
	if !self.Session.Open || self.Session.Incarnation != r.identity.Session.Incarnation {
		return 0
	}
	return self.Session.Number
}

func (c *testCluster) open(r *testRouter) func(state.RouterID, state.SessionNumber) bool {
	return func(id state.RouterID, session state.SessionNumber) bool {
		known := c.views[r.view].routers[id].Session
		return known.Number < session || (known.Number == session && known.Open)
	}
}

func (c *testCluster) byIncarnation(id state.RouterID, session state.SessionNumber, view testView) *testRouter {
	known := view.routers[id]
	for _, router := range c.routers {
		if router.identity.ID == id && known.Session.Number == session && known.Session.Incarnation == router.identity.Session.Incarnation {
			return router
		}
	}
	return nil
}

// sync transfers every record to the backup and reports it as synced only if all of them arrived.
func (c *testCluster) sync(primary *testRouter) {
	placed := primary.core.Placed()
	if primary.core.Role() != RolePrimary || placed.Backup == "" || primary.core.Epoch() != placed.Epoch {
		return
	}
	formerEpoch := state.Epoch(0)
	if placed.Backup == placed.Former {
		formerEpoch = placed.FormerEpoch
	}
	keys := primary.core.Keys()
	backup := c.byIncarnation(placed.Backup, placed.BackupSession, c.views[primary.view])
	c.deliverLater(func() {
		for first := true; first || len(keys) > 0; first = false {
			var part []Record
			part, keys = primary.core.Records(keys, 2, 1<<20)
			if backup == nil || backup.dead || primary.dead || !backup.core.Store(placed.Epoch, formerEpoch, part) {
				return
			}
		}
		c.deliverLater(func() {
			if primary.core.Epoch() == placed.Epoch && primary.failed != placed.Epoch {
				primary.synced = placed.Epoch
			}
		})
	})
}

func (c *testCluster) kill() {
	position := c.random.IntN(len(c.routers))
	c.routers[position].dead = true
	c.routers[position] = c.newRouter(c.routers[position].identity.ID)
}

func runTestCluster(seed uint64) *testCluster {
	cluster := newTestCluster(seed)
	for range testSteps {
		cluster.step()
		if cluster.failure != "" {
			break
		}
	}
	return cluster
}

func TestAtMostOneAttemptRuns(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 400
	var grants, kept, lost, moves, formers int
	properties := gopter.NewProperties(parameters)
	properties.Property("no key has two attempts that ran", prop.ForAll(func(seed uint64) string {
		cluster := runTestCluster(seed)
		grants += cluster.grants
		kept += cluster.kept
		lost += cluster.lost
		moves += cluster.moves
		formers += cluster.formers
		return cluster.failure
	}, gen.UInt64()))
	properties.TestingRun(t)
	t.Logf("granted %d, kept answers %d, rejected after a loss %d, first moves from a cut-off router %d, stored on former copies %d", grants, kept, lost, moves, formers)
	if grants < 1000 || kept < 100 || lost < 10 || moves < 100 || formers < 1000 {
		t.Errorf("the run covered too little: granted %d, kept answers %d, rejected after a loss %d, stored on former copies %d", grants, kept, lost, formers)
	}
}

package driver

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

const (
	self          = consensus.ReplicaID(7)
	firstSequence = 100
)

var errDisk = errors.New("the disk is full")

// harness is a driver with a scripted core. It is also the driver's Host and records
// the events in order.
type harness struct {
	Host
	driver *Driver
	events []string
	now    time.Duration
	state  *state.State
	status consensus.Status
	// ready holds the batches that the core returns next.
	ready []consensus.Ready
	// rounds holds the contexts passed to ReadIndex.
	rounds        []uint64
	proposed      [][]byte
	saveErr       error
	proposeErr    error
	writeSnapshot func() SavedSnapshot
}

func newHarness(t *testing.T, first uint64) *harness {
	t.Helper()
	disk := vfs.NewMemory(nil)
	if err := durable.CreateLog(disk, "/data"); err != nil {
		t.Fatal(err)
	}
	founders := []consensus.Member{{ID: self}}
	storage, err := durable.Open(disk, "/data", identity.Identity{Replica: self, Cluster: "group", Founders: founders}, durable.Options{})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{state: storage.State}
	h.driver = New(Config{
		Self: self, Core: scriptedCore{harness: h}, Storage: storage, Log: recordingLog{Log: storage.Log, harness: h}, Host: h,
		Coordinator:   coordinator.New(coordinator.Config{LeaseDuration: time.Second, RenewInterval: time.Second, MaxBatch: 1}),
		FirstSequence: first, SnapshotEntries: 3, SnapshotBytes: 1 << 20,
	})
	return h
}

func (h *harness) record(format string, arguments ...any) {
	h.events = append(h.events, fmt.Sprintf(format, arguments...))
}

// handle runs HandleReady on the given batches and returns the recorded events.
func (h *harness) handle(ready ...consensus.Ready) ([]string, error) {
	h.ready = ready
	h.events = nil
	err := h.driver.HandleReady()
	return h.events, err
}

// recordingLog is a write-ahead log that records saves and fails with saveErr if that is set.
type recordingLog struct {
	Log
	harness *harness
}

func (l recordingLog) Save(hardState *consensus.HardState, entries []consensus.Entry) error {
	if l.harness.saveErr != nil {
		return l.harness.saveErr
	}
	err := l.Log.Save(hardState, entries)
	l.harness.record("saved %d entries", len(entries))
	return err
}

// scriptedCore is a core that returns what the harness holds.
type scriptedCore struct {
	Core
	*harness
}

func (c scriptedCore) HasReady() bool           { return len(c.ready) > 0 }
func (c scriptedCore) Advance(consensus.Ready)  { c.record("advanced") }
func (c scriptedCore) Status() consensus.Status { return c.status }

func (c scriptedCore) Ready() consensus.Ready {
	next := c.ready[0]
	c.ready = c.ready[1:]
	return next
}

func (c scriptedCore) Compact(index uint64) error {
	c.record("compacted up to %d", index)
	return nil
}

func (c scriptedCore) Propose(data []byte) error {
	c.proposed = append(c.proposed, data)
	return c.proposeErr
}

func (c scriptedCore) ReadIndex(context uint64) error {
	c.rounds = append(c.rounds, context)
	return nil
}

func (h *harness) Now() time.Duration              { return h.now }
func (h *harness) State() *state.State             { return h.state }
func (h *harness) Send(sent []consensus.Message)   { h.record("sent %d messages", len(sent)) }
func (h *harness) StartedLeading(consensus.Status) { h.record("leads") }
func (h *harness) StoppedLeading()                 { h.record("follows") }

func (h *harness) Apply(index uint64, command state.Command) state.Result {
	return h.state.Apply(index, command)
}

func (h *harness) Applied(entry consensus.Entry, _ state.Command, _ state.Result) {
	h.record("applied %d", entry.Index)
}

func (h *harness) Restore(index uint64, restored *state.State) {
	if newest, found := h.driver.storage.Newest(); !found || newest.Metadata.Index != index {
		h.record("restored before it was saved")
	}
	h.state = restored
	h.record("restored at %d", index)
}

func (h *harness) WriteSnapshot(write func() SavedSnapshot) {
	h.writeSnapshot = write
	h.record("snapshot begun")
}

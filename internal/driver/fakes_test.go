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

// harness is a driver with a scripted core. It notes what happens, in order.
type harness struct {
	Host
	driver *Driver
	events []string
	now    time.Duration
	state  *state.State
	status consensus.Status
	// ready is what the core hands out next.
	ready []consensus.Ready
	// rounds has the contexts that the core was asked to confirm.
	rounds   []uint64
	proposed [][]byte
	saveErr  error
	refusal  error
	writing  func() SavedSnapshot
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

func (h *harness) note(format string, arguments ...any) {
	h.events = append(h.events, fmt.Sprintf(format, arguments...))
}

// handle lets the core hand out work and returns what happened.
func (h *harness) handle(ready ...consensus.Ready) ([]string, error) {
	h.ready = ready
	h.events = nil
	err := h.driver.HandleReady()
	return h.events, err
}

// recordingLog is the log under a driver.
type recordingLog struct {
	Log
	harness *harness
}

func (l recordingLog) Save(hardState *consensus.HardState, entries []consensus.Entry) error {
	if l.harness.saveErr != nil {
		return l.harness.saveErr
	}
	err := l.Log.Save(hardState, entries)
	l.harness.note("saved %d entries", len(entries))
	return err
}

// scriptedCore hands out what the harness says.
type scriptedCore struct {
	Core
	*harness
}

func (c scriptedCore) HasReady() bool           { return len(c.ready) > 0 }
func (c scriptedCore) Advance(consensus.Ready)  { c.note("advanced") }
func (c scriptedCore) Status() consensus.Status { return c.status }

func (c scriptedCore) Ready() consensus.Ready {
	next := c.ready[0]
	c.ready = c.ready[1:]
	return next
}

func (c scriptedCore) Compact(index uint64) error {
	c.note("cut up to %d", index)
	return nil
}

func (c scriptedCore) Propose(data []byte) error {
	c.proposed = append(c.proposed, data)
	return c.refusal
}

func (c scriptedCore) ReadIndex(context uint64) error {
	c.rounds = append(c.rounds, context)
	return nil
}

func (h *harness) Now() time.Duration              { return h.now }
func (h *harness) State() *state.State             { return h.state }
func (h *harness) Send(sent []consensus.Message)   { h.note("sent %d messages", len(sent)) }
func (h *harness) StartedLeading(consensus.Status) { h.note("leads") }
func (h *harness) StoppedLeading()                 { h.note("follows") }

func (h *harness) Apply(index uint64, command state.Command) state.Result {
	return h.state.Apply(index, command)
}

func (h *harness) Applied(entry consensus.Entry, _ state.Command, _ state.Result) {
	h.note("applied %d", entry.Index)
}

func (h *harness) Restored(index uint64, restored *state.State) {
	if newest, found := h.driver.storage.Newest(); !found || newest.Metadata.Index != index {
		h.note("restored before it was saved")
	}
	h.state = restored
	h.note("restored at %d", index)
}

func (h *harness) WriteSnapshot(write func() SavedSnapshot) {
	h.writing = write
	h.note("snapshot begun")
}

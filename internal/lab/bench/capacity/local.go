package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"gonum.org/v1/gonum/stat"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/vfs"
	"github.com/thorntiller/thorntiller/internal/wal"
)

// Parts is what the pure parts cost at one size. They run in this process, one
// at a time, up to the size to design for.
type Parts struct {
	Servers int `json:"servers"`
	Shards  int `json:"shards"`
	// StateMB is the heap that the state of a controller takes.
	StateMB float64 `json:"state_mb"`
	// FreezeMs, EncodeMs, SnapshotMB and DecodeMs are of a controller's snapshot.
	// The replica's loop waits for the freezing alone.
	FreezeMs   float64 `json:"freeze_ms"`
	EncodeMs   float64 `json:"encode_ms"`
	SnapshotMB float64 `json:"snapshot_mb"`
	DecodeMs   float64 `json:"decode_ms"`
	// ObjectsMs is the copy of all objects for one router's snapshot.
	ObjectsMs float64 `json:"objects_ms"`
	// TableMB is the heap that a router's table takes, TableBuildMs its making
	// from a snapshot, TableBytes the snapshot on the wire by shard.
	TableMB      float64 `json:"table_mb"`
	TableBuildMs float64 `json:"table_build_ms"`
	TableBytes   float64 `json:"table_bytes_each"`
	// DeltaMicroseconds is one change of one shard applied to a router's table.
	DeltaMicroseconds float64 `json:"delta_us"`
	DeltaBytes        float64 `json:"delta_bytes"`
	// CreatedMB is the change that brings all shards into being, on the wire.
	CreatedMB float64 `json:"created_mb"`
	// TickMicroseconds is one tick of the coordinator while nothing changes,
	// the lease messages that are due included; UnownedTickMs is one while no
	// shard has an owner.
	TickMicroseconds float64 `json:"tick_us"`
	UnownedTickMs    float64 `json:"unowned_tick_ms"`
}

// Sync is the time that the write-ahead log takes for one small entry.
type Sync struct {
	Count      int     `json:"count"`
	MedianMs   float64 `json:"ms_median"`
	P99Ms      float64 `json:"ms_p99"`
	EntryBytes int     `json:"entry_bytes"`
}

// LocalReport is what the parts cost.
type LocalReport struct {
	Parts  []Parts `json:"parts"`
	Slopes []Slope `json:"slopes"`
	Sync   Sync    `json:"sync"`
}

// RunLocal measures the parts at each number of shards.
func RunLocal(ctx context.Context, folder string, servers int, shards []int, say func(string, ...any)) (LocalReport, error) {
	var report LocalReport
	for _, count := range shards {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		say("parts: %d servers, %d shards", servers, count)
		parts, err := measureParts(servers, count)
		if err != nil {
			return report, err
		}
		report.Parts = append(report.Parts, parts)
	}
	report.Slopes = fitParts(report.Parts)
	var err error
	report.Sync, err = measureSync(folder)
	return report, err
}

// liveHeap returns the bytes that are reachable.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func megabytes(bytes uint64) float64 {
	return float64(bytes) / (1 << 20)
}

// repetitions is how often an act of some length is timed; the shortest time
// counts, since others use the machine as well.
const repetitions = 3

func shortest(act func()) float64 {
	best := timed(act)
	for range repetitions - 1 {
		best = min(best, timed(act))
	}
	return milliseconds(best)
}

func timed(act func()) time.Duration {
	began := time.Now()
	act()
	return time.Since(began)
}

func measureParts(servers, shards int) (Parts, error) {
	parts := Parts{Servers: servers, Shards: shards}
	before := liveHeap()
	view, createdBytes, err := buildState(servers, shards)
	if err != nil {
		return parts, err
	}
	parts.CreatedMB = megabytes(uint64(createdBytes))
	parts.UnownedTickMs = measureUnownedTick(view)
	assignAll(view, servers, shards)
	parts.StateMB = megabytes(liveHeap() - before)
	if err := parts.measureSnapshot(view); err != nil {
		return parts, err
	}
	if err := parts.measureTable(view); err != nil {
		return parts, err
	}
	parts.TickMicroseconds = measureTick(view)
	return parts, nil
}

func encodedBytes(value any) int {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		panic("capacity: encode: " + err.Error()) // the types hold nothing else
	}
	return len(encoded)
}

// buildState returns a state with open sessions and unowned shards, and the
// size on the wire of the change that brought the shards into being.
func buildState(servers, shards int) (*state.State, int, error) {
	view := state.New()
	plan := state.Plan{ID: "create", Operations: []state.Operation{
		{PutService: &state.Service{Name: "ledger", Keyed: true, Mode: state.ModeManaged, MaxMoves: 64}},
	}}
	for number := range servers {
		plan.Operations = append(plan.Operations, state.Operation{PutServer: &state.Server{
			ID: serverID(number), Service: "ledger", Address: fmt.Sprintf("127.0.%d.%d:8080", number/250, number%250),
			Zone: "zone-1", Slots: 2, Connections: 100, Intent: state.ServerActive,
		}})
	}
	plan.Operations = append(plan.Operations, state.Operation{CreateShards: &state.CreateShards{Service: "ledger", Count: shards}})
	view.Apply(1, state.Command{StorePlan: &state.StorePlan{Plan: plan}})
	result := view.Apply(2, state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
	if result.Err != nil {
		return nil, 0, result.Err
	}
	size := encodedBytes(&message.TableDelta{To: 2, Objects: result.Changed, Digest: view.Digest()})
	for number := range servers {
		view.Apply(uint64(3+number), state.Command{OpenSession: &state.OpenSession{Server: serverID(number), Incarnation: "0123456789abcdef"}})
	}
	return view, size, nil
}

func serverID(number int) state.ServerID {
	return state.ServerID(fmt.Sprintf("server-%05d", number))
}

// assignAll gives the shards to the servers in turn.
func assignAll(view *state.State, servers, shards int) {
	const batch = 512
	index := uint64(3 + servers)
	for first := 1; first <= shards; first += batch {
		var assign state.AssignShards
		for id := first; id < min(first+batch, shards+1); id++ {
			assign.Assignments = append(assign.Assignments, state.ShardAssignment{
				Shard: state.ShardID(id), Server: serverID(id % servers), Session: 1,
			})
		}
		view.Apply(index, state.Command{AssignShards: &assign})
		index++
	}
}

func (p *Parts) measureSnapshot(view *state.State) error {
	var encoded []byte
	var err error
	p.FreezeMs = shortest(func() { view.Freeze() })
	frozen := view.Freeze()
	p.EncodeMs = shortest(func() { encoded, err = frozen.Encode() })
	if err != nil {
		return err
	}
	p.SnapshotMB = megabytes(uint64(len(encoded)))
	p.DecodeMs = shortest(func() { _, err = state.Decode(encoded) })
	p.ObjectsMs = shortest(func() { view.Objects() })
	return err
}

// measureTable builds a router's table as it comes over the wire, in parts.
func (p *Parts) measureTable(view *state.State) error {
	frames, bytes := encodeTable(view)
	p.TableBytes = float64(bytes) / float64(p.Shards)
	before := liveHeap()
	builder := table.NewBuilder()
	var failed error
	p.TableBuildMs = milliseconds(timed(func() {
		for _, frame := range frames {
			var part message.ControllerFrame
			if failed = msgpack.Unmarshal(frame, &part); failed != nil {
				return
			}
			if _, failed = builder.ApplySnapshot(*part.Snapshot); failed != nil {
				return
			}
		}
	}))
	if failed != nil {
		return failed
	}
	p.TableMB = megabytes(liveHeap() - before)
	err := p.measureDelta(view, builder)
	runtime.KeepAlive(frames)
	return err
}

func encodeTable(view *state.State) (frames [][]byte, bytes int) {
	const partObjects = 1000
	objects := view.Objects()
	for start := 0; start < len(objects); start += partObjects {
		end := min(start+partObjects, len(objects))
		encoded, err := msgpack.Marshal(&message.ControllerFrame{Snapshot: &message.TableSnapshot{
			Cluster: "c", Revision: view.Revision(), Digest: view.Digest(), Objects: objects[start:end], First: start == 0, Last: end == len(objects),
		}})
		if err != nil {
			panic("capacity: encode: " + err.Error()) // the types hold nothing else
		}
		frames = append(frames, encoded)
		bytes += len(encoded)
	}
	return frames, bytes
}

// measureDelta moves single shards, spread over the table.
func (p *Parts) measureDelta(view *state.State, builder *table.Builder) error {
	const count = 200
	spent := time.Duration(0)
	for number := range count {
		shard := state.ShardID(1 + number*p.Shards/count)
		before := view.Revision()
		known, _ := view.Shard(shard)
		result := view.Apply(uint64(before)+1, state.Command{RevokeShards: &state.RevokeShards{Moves: []state.MoveShard{
			{Shard: shard, Epoch: known.Epoch, From: known.Owner, To: serverID(0)},
		}}})
		delta := message.TableDelta{From: before, To: view.Revision(), Objects: result.Changed, Digest: view.Digest()}
		var err error
		spent += timed(func() { err = builder.ApplyDelta(delta) })
		if err != nil {
			return err
		}
		p.DeltaBytes += float64(encodedBytes(&message.ControllerFrame{Delta: &delta})) / count
	}
	p.DeltaMicroseconds = float64(spent.Microseconds()) / count
	return nil
}

// measureSync writes small entries to a log on the given folder's disk.
func measureSync(folder string) (Sync, error) {
	const count, entryBytes = 300, 300
	place, err := os.MkdirTemp(folder, "sync-")
	if err != nil {
		return Sync{}, eris.Wrap(err, "create a folder for the log")
	}
	defer func() { _ = os.RemoveAll(place) }() // a folder that stays behind does no harm
	log, _, err := wal.Open(vfs.System{}, filepath.Join(place, "wal"), wal.Options{})
	if err != nil {
		return Sync{}, err
	}
	var took []float64
	for index := uint64(1); index <= count; index++ {
		entry := consensus.Entry{Index: index, Term: 1, Data: make([]byte, entryBytes)}
		var saveErr error
		took = append(took, milliseconds(timed(func() {
			saveErr = log.Save(&consensus.HardState{Term: 1, Commit: index}, []consensus.Entry{entry})
		})))
		if saveErr != nil {
			return Sync{}, saveErr
		}
	}
	slices.Sort(took)
	const percentile = 0.99
	return Sync{
		Count: count, EntryBytes: entryBytes, MedianMs: median(took),
		P99Ms: stat.Quantile(percentile, stat.Empirical, took, nil),
	}, log.Close()
}

func fitParts(parts []Parts) []Slope {
	var slopes []Slope
	for _, wanted := range []struct {
		name, unit string
		value      func(Parts) float64
	}{
		{"controller's state", "MB", func(p Parts) float64 { return p.StateMB }},
		{"snapshot, freezing", "ms", func(p Parts) float64 { return p.FreezeMs }},
		{"snapshot, encoding", "ms", func(p Parts) float64 { return p.EncodeMs }},
		{"snapshot, size", "MB", func(p Parts) float64 { return p.SnapshotMB }},
		{"snapshot, decoding", "ms", func(p Parts) float64 { return p.DecodeMs }},
		{"copy of all objects for a router", "ms", func(p Parts) float64 { return p.ObjectsMs }},
		{"router's table", "MB", func(p Parts) float64 { return p.TableMB }},
		{"router's table, building", "ms", func(p Parts) float64 { return p.TableBuildMs }},
		{"creation of all shards, on the wire", "MB", func(p Parts) float64 { return p.CreatedMB }},
		{"tick without an owner for any shard", "ms", func(p Parts) float64 { return p.UnownedTickMs }},
	} {
		var sizes, values []float64
		for _, row := range parts {
			sizes = append(sizes, float64(row.Shards))
			values = append(values, wanted.value(row))
		}
		slopes = append(slopes, line(wanted.name, wanted.unit, SweepShards, sizes, values))
	}
	return slopes
}

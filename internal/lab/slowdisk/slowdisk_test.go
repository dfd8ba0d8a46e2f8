package slowdisk

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestDelaysAreReported shows that what is held up is told, and that a disk that
// holds nothing up tells nothing: a run that checks the report misses no fault.
func TestDelaysAreReported(t *testing.T) {
	const delay = 3 * time.Millisecond
	steering := filepath.Join(t.TempDir(), "disk")
	opened, err := New(vfs.System{}, steering).Create(filepath.Join(t.TempDir(), "file"))
	must(t, err)
	must(t, opened.Sync())
	if told := reportOf(t, steering); told != (Report{}) {
		t.Fatalf("a disk without delays tells %+v", told)
	}
	must(t, Steer(steering, Delays{Sync: delay, Write: delay}))
	_, err = opened.Write([]byte("content"))
	must(t, err)
	must(t, opened.Sync())
	if told := reportOf(t, steering); told.Operations != 2 || told.Longest < delay {
		t.Fatalf("a delayed write and a delayed sync are told as %+v", told)
	}
	must(t, opened.Close())
}

// TestStallLastsUntilItIsLifted holds a sync up and lets it go.
func TestStallLastsUntilItIsLifted(t *testing.T) {
	steering := filepath.Join(t.TempDir(), "disk")
	must(t, Steer(steering, Delays{Stalled: true}))
	slow := New(vfs.System{}, steering)
	ended := make(chan error, 1)
	var background conc.WaitGroup
	background.Go(func() { ended <- slow.SyncDir(filepath.Dir(steering)) })
	select {
	case <-ended:
		t.Fatal("the sync ended although the disk is stalled")
	case <-time.After(10 * look):
	}
	must(t, Steer(steering, Delays{}))
	must(t, <-ended)
	background.Wait()
	if told := reportOf(t, steering); told.Operations != 1 {
		t.Fatalf("one stalled sync is told as %+v", told)
	}
}

func reportOf(t *testing.T, steering string) Report {
	t.Helper()
	told, err := ReadReport(steering)
	must(t, err)
	return told
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

package controller

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/slowdisk"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestLeaderOnAStalledDiskSendsCallsAway stalls the disk of the leader. It must
// soon say that it does not lead, though its loop is held up, so that operators
// and routers go to its successor; a change is then accepted there. Once the
// disk goes on, it follows.
func TestLeaderOnAStalledDiskSendsCallsAway(t *testing.T) {
	folder := t.TempDir()
	steering := func(name string) string { return filepath.Join(folder, name) }
	g := newGroupOn(t, func(name string) vfs.FileSystem { return slowdisk.New(vfs.System{}, steering(name)) })
	stalled := g.processes[g.leader()].settings
	t.Cleanup(func() { must(t, slowdisk.Steer(steering(stalled.Name), slowdisk.Delays{})) })
	must(t, slowdisk.Steer(steering(stalled.Name), slowdisk.Delays{Stalled: true}))

	g.create("s000")
	g.eventually("the stalled leader refuses as one that does not lead", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+stalled.APIAddress+intentapi.PathServices, patience)
		return err == nil && status == fasthttp.StatusMisdirectedRequest
	})
	must(t, slowdisk.Steer(steering(stalled.Name), slowdisk.Delays{}))
	g.eventually("the replica with the stalled disk follows", func() bool {
		status, err := g.client.Status(context.Background(), stalled.APIAddress)
		return err == nil && status.Role == "follower" && status.LeaderName != ""
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

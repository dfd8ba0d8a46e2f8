package controller

import (
	"context"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/slowdisk"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestLeaderOnAStalledDiskSendsCallsAway stalls the disk of the leader. The leader must soon reject calls as
// not leading although its loop is stalled, so that operators and routers switch to its successor, which then
// accepts a change. Once the disk recovers, the old leader follows.
func TestLeaderOnAStalledDiskSendsCallsAway(t *testing.T) {
	folder := t.TempDir()
	controlFile := func(name string) string { return filepath.Join(folder, name) }
	g := newGroupOn(t, func(name string) vfs.FileSystem { return slowdisk.New(vfs.System{}, controlFile(name)) })
	stalled := g.processes[g.leader()].settings
	t.Cleanup(func() { must(t, slowdisk.Steer(controlFile(stalled.Name), slowdisk.Delays{})) })
	must(t, slowdisk.Steer(controlFile(stalled.Name), slowdisk.Delays{Stalled: true}))

	g.create("s000")
	g.eventually("the stalled leader rejects calls as not leading", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+stalled.APIAddress+intentapi.PathServices, waitTimeout)
		return err == nil && status == fasthttp.StatusMisdirectedRequest
	})
	must(t, slowdisk.Steer(controlFile(stalled.Name), slowdisk.Delays{}))
	g.eventually("the replica with the stalled disk follows", func() bool {
		status, err := g.client.Status(context.Background(), stalled.APIAddress)
		return err == nil && status.Role == "follower" && status.LeaderName != ""
	})
}

// TestHeldUpLoopIsNoticedInAGroupFoundBySeeds guards against a leader with a stalled disk that keeps the calls
// of servers and operators. The check was limited to groups whose settings list the controllers, and groups
// formed through seeds list none. A controller without a possible successor keeps the calls.
func TestHeldUpLoopIsNoticedInAGroupFoundBySeeds(t *testing.T) {
	for _, c := range []struct {
		name     string
		members  []consensus.Member
		detected bool
	}{
		{"three voters", []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}}, true},
		{"a voter and a learner", []consensus.Member{{ID: 1}, {ID: 2, Learner: true}}, false},
		{"alone", []consensus.Member{{ID: 1}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := config.DefaultController()
				settings.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
				system := bubbleClock{origin: time.Now()}
				r := &replica{settings: settings, clock: system, self: consensus.Member{ID: 1}, watchdog: newLoopWatchdog(system, settings)}
				r.published.Store(&published{status: consensus.Status{Membership: consensus.Membership{Members: c.members}}})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go r.watchLoop(ctx)
				time.Sleep(r.watchdog.limit + 10*settings.Consensus.TickInterval)
				synctest.Wait()
				if detected := r.watchdog.stallContext().Err() != nil; detected != c.detected {
					t.Errorf("stall detected: %v, want %v", detected, c.detected)
				}
			})
		})
	}
}

// bubbleClock is the time of a synctest bubble.
type bubbleClock struct{ origin time.Time }

// Now implements clock.Clock.
func (c bubbleClock) Now() time.Duration { return time.Since(c.origin) }

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

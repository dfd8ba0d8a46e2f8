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

// TestHeldUpLoopIsNoticedInAGroupFoundBySeeds guards against a leader with a stalled disk that keeps
// the calls of servers and operators: it looked only in groups whose settings list the controllers,
// and those that find each other by seeds list none. A controller without a successor keeps them.
func TestHeldUpLoopIsNoticedInAGroupFoundBySeeds(t *testing.T) {
	for _, c := range []struct {
		name    string
		members []consensus.Member
		noticed bool
	}{
		{"three voters", []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}}, true},
		{"a voter and a learner", []consensus.Member{{ID: 1}, {ID: 2, Learner: true}}, false},
		{"alone", []consensus.Member{{ID: 1}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := config.DefaultController()
				settings.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
				running := bubbleClock{origin: time.Now()}
				r := &replica{settings: settings, clock: running, self: consensus.Member{ID: 1}, turns: newTurnWatch(running, settings)}
				r.published.Store(&published{status: consensus.Status{Membership: consensus.Membership{Members: c.members}}})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go r.watchTurns(ctx)
				time.Sleep(r.turns.limit + 10*settings.Consensus.TickInterval)
				synctest.Wait()
				if noticed := r.turns.current().Err() != nil; noticed != c.noticed {
					t.Errorf("noticed %v, want %v", noticed, c.noticed)
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

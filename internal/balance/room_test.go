package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// roomyRejectionShare simulates the requests of one sender to the holders of keys, where all senders
// together use the given share of each holder's slots. It returns the share of this sender's requests after
// which HasRoom is true for the holder.
func roomyRejectionShare(senders, holders int, use float64) float64 {
	const seconds = 60
	const took = 160 * time.Millisecond
	random := rand.New(rand.NewPCG(7, uint64(senders)))
	b := New(DefaultSettings("z"))
	perSecond := use * 2 / took.Seconds() * float64(holders) / float64(senders)
	sent, roomy := 0, 0
	for now := time.Duration(0); now < seconds*time.Second; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		holder := instances("z")[0]
		holder.ID = directory.InstanceID(rune('a' + random.IntN(holders)))
		holder.Slots, holder.Service = 2, "s"
		if !b.TryBegin(now, holder, 1000) {
			continue
		}
		b.End(Outcome{Now: now, Service: holder.Service, Instance: holder.ID, Took: took, Answered: true})
		sent++
		if b.HasRoom(now, holder, Fleet{Senders: senders, Slots: 2 * holders}) {
			roomy++
		}
	}
	return float64(roomy) / float64(max(sent, 1))
}

// TestRejectionsAreToldApart: where holders have room, HasRoom must be true for most rejections, in a small
// fleet and in a large one. Where the holder of a hot key is asked for twice its capacity, or all holders
// for about their capacity, it must be true for hardly any.
func TestRejectionsAreToldApart(t *testing.T) {
	for _, fleet := range []struct {
		senders, holders int
		use              float64
		least, most      float64
	}{
		{8, 14, 0.2, 0.6, 1}, {60, 150, 0.2, 0.6, 1}, {985, 5783, 0.022, 0.9, 1}, {1970, 11566, 0.022, 0.9, 1},
		// A single holder, of a hot key.
		{8, 1, 2, 0, 0.1}, {60, 1, 2, 0, 0.2},
		// All holders are full, and each sender meets one of them now and then.
		{8, 14, 1.2, 0, 0.1}, {68, 105, 0.9, 0, 0.1}, {60, 150, 1.2, 0, 0.1}, {985, 5783, 0.9, 0, 0.1},
	} {
		if share := roomyRejectionShare(fleet.senders, fleet.holders, fleet.use); share < fleet.least || share > fleet.most {
			t.Errorf("%+v: HasRoom after a share of %.2f of the rejections", fleet, share)
		}
	}
}

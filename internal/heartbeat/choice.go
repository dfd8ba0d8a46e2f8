package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// mostLooked bounds the candidates among which one choice is made. While each choice looked at all
// 5,800 instances of a service, the keys of 116 instances that left at once took 323 ms, in which
// the leader answered nobody.
const mostLooked = 256

// window returns the candidates among which the next choice is made: all, or the next ones in
// turn.
func (d *draft) window() []*candidate {
	if len(d.candidates) <= mostLooked {
		return d.candidates
	}
	first := d.core.windowStart % len(d.candidates)
	d.core.windowStart = first + mostLooked
	window := d.candidates[first:min(first+mostLooked, len(d.candidates))]
	return append(slices.Clip(window), d.candidates[:mostLooked-len(window)]...)
}

// least returns the instance to which keys that nobody holds cost least: by the demand for its
// slots, the keys that it has, and the time until it is told, in which nobody serves them. A cold
// instance carries few requests, so that it gets keys only while no warm one is there.
func (d *draft) least() *candidate {
	cost := func(each *candidate) float64 { return d.burden(each) + gapCost*d.untilTold(each).Seconds() }
	return slices.MinFunc(d.window(), func(a, b *candidate) int {
		return cmp.Or(compareCold(a, b), cmp.Compare(cost(a), cost(b)), cmp.Compare(a.id, b.id))
	})
}

// untilTold returns how long it is expected to take until an instance hears of keys that it gets
// now: nothing while its answer waits, else until its next heartbeat.
func (d *draft) untilTold(each *candidate) time.Duration {
	known := d.core.contacts[each.id]
	if known == nil || known.interval <= 0 {
		return unknownGap
	}
	if d.now < known.answerableUntil {
		return 0
	}
	return max(known.beatAt+known.interval-d.now, 0)
}

func compareCold(a, b *candidate) int {
	switch {
	case a.warm == b.warm:
		return 0
	case a.warm:
		return -1
	default:
		return 1
	}
}

// keysBurden is the share of the slots that all keys count for by their number, so
// that keys without demand are spread as well.
const keysBurden = 0.5

func (d *draft) burden(each *candidate) float64 {
	return d.utilisation(each) + keysBurden*float64(each.keys)/float64(directory.MaxKey+1)/float64(each.slots)
}

// bestTarget returns the warm instance that costs least as the next holder: by the
// demand for its slots, and by the time until it is told of its keys, in which
// nobody holds them. Those chosen already are left out.
func (d *draft) bestTarget(source *candidate, chosen []*candidate) *candidate {
	var best *candidate
	bestCost := 0.0
	for _, each := range d.window() {
		if each == source || !each.warm || each.rows+each.awaited >= maxRows || slices.Contains(chosen, each) || d.reserved(each) {
			continue
		}
		cost := d.utilisation(each) + gapCost*d.gap(source, each).Seconds()
		if best == nil || cost < bestCost {
			best, bestCost = each, cost
		}
	}
	return best
}

// gap returns how long nobody is expected to hold keys that pass from one instance to
// another: from the source's heartbeat, which has just come, to the first one of the
// target after the source has let go.
func (d *draft) gap(source, target *candidate) time.Duration {
	known := d.core.contacts[target.id]
	if known == nil || known.interval <= 0 {
		return unknownGap
	}
	letGo := releaseTime + time.Duration(d.serviceTime(source)*float64(time.Second))
	if d.now+letGo < known.answerableUntil {
		return letGo
	}
	until := known.beatAt + known.interval - d.now
	for until < letGo {
		until += known.interval
	}
	return until
}

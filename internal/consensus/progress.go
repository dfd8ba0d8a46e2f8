package consensus

import "slices"

// progressState is how the leader sends the log to one member.
type progressState uint8

const (
	// progressProbe sends one MessageAppend at a time to find the last index at
	// which the logs match.
	progressProbe progressState = iota
	// progressReplicate sends ahead of acknowledgements, up to MaxInflight.
	progressReplicate
	// progressSnapshot sends no entries until the member has restored a snapshot.
	progressSnapshot
)

// progress is the leader's view of one member's log.
type progress struct {
	match        uint64
	next         uint64
	state        progressState
	recentActive bool
	// silentTicks is the number of ticks since the last message from the member.
	silentTicks int
	// probeTicks is the number of ticks since the last MessageAppend sent as a probe.
	probeTicks int
	// paused stops MessageAppend until an answer arrives.
	paused bool
	// inflight holds the last index of each unacknowledged MessageAppend.
	inflight []uint64
	// snapshotTicks is the number of ticks since the snapshot was sent.
	snapshotTicks int
}

func newProgress(next uint64) *progress {
	return &progress{next: next}
}

func (p *progress) becomeProbe() {
	p.state = progressProbe
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) becomeReplicate() {
	p.state = progressReplicate
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) becomeSnapshot() {
	p.state = progressSnapshot
	p.paused = true
	p.inflight = nil
	p.snapshotTicks = 0
}

// sent records one MessageAppend with the given number of entries.
func (p *progress) sent(count, maxInflight int) {
	if p.state == progressProbe {
		p.paused = true
		p.probeTicks = 0
		return
	}
	if count > 0 {
		p.next += uint64(count)
		p.inflight = append(p.inflight, p.next-1)
	}
	p.paused = p.full(maxInflight)
}

func (p *progress) full(maxInflight int) bool {
	return len(p.inflight) >= maxInflight
}

// acknowledge records that the member holds the log up to index. It returns
// false if that was already known.
func (p *progress) acknowledge(index uint64) bool {
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= index })
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.paused = false
	return true
}

// reject records that the member's log does not match at the given index and
// may match at hint. It returns false if the answer is outdated.
func (p *progress) reject(rejected, hint uint64) bool {
	if p.state == progressReplicate {
		if rejected <= p.match {
			return false
		}
		p.becomeProbe()
		return true
	}
	if p.state == progressSnapshot || p.next-1 != rejected {
		return false
	}
	p.next = max(min(rejected, hint+1), p.match+1)
	p.paused = false
	return true
}

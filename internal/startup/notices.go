package startup

import "time"

const (
	// firstNotice is how long a process is not ready until that is logged.
	firstNotice = 2 * time.Second
	// maxNoticeInterval bounds the time between two log lines of one wait, which doubles with each.
	maxNoticeInterval = time.Minute
)

// notice is what to log about the readiness of the process.
type notice int

const (
	noticeNone notice = iota
	// noticeReady says that the process is ready for the first time, or again after a noticeNotReady.
	noticeReady
	// noticeNotReady says that the process is not ready, or still not.
	noticeNotReady
)

// notices decides when the readiness of a process is logged. Times are readings of a clock.Clock.
type notices struct {
	// reported is true while the latest notice was noticeReady.
	reported bool
	// waiting is true while the process is not ready, since the reading since.
	waiting bool
	since   time.Duration
	// due is the reading of the next notice while waiting, and interval the time from it to the one after it.
	due, interval time.Duration
}

// update takes the readiness at a reading of the clock.
func (n *notices) update(now time.Duration, ready bool) notice {
	if ready {
		n.waiting = false
		if n.reported {
			return noticeNone
		}
		n.reported = true
		return noticeReady
	}
	if !n.waiting {
		n.waiting, n.since, n.due, n.interval = true, now, now+firstNotice, firstNotice
	}
	if now < n.due {
		return noticeNone
	}
	n.interval = min(2*n.interval, maxNoticeInterval)
	n.due = now + n.interval
	n.reported = false
	return noticeNotReady
}

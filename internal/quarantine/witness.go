package quarantine

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Loss is an attempt that ended without an answer of its instance.
type Loss struct {
	Fingerprint directory.Fingerprint
	Path        directory.PathHash
	Service     string
	Instance    directory.InstanceID
	// RequestID is the caller's identifier of the attempt, for log lines.
	RequestID string
	// Began and Ended are when the attempt was sent and lost.
	Began, Ended time.Duration
}

const (
	// confirmTime is how long after a loss its instance is waited for to prove that it ended.
	confirmTime = 5 * time.Second
	// endedTime is how long an instance that ended is remembered: attempts that were sent to it
	// before may be given up later.
	endedTime = 30 * time.Second
	// expireInterval is the time between two looks for what is too old.
	expireInterval = 500 * time.Millisecond
	// mostLosses bounds the losses that wait for a proof.
	mostLosses = 1024
)

// CrashDetector tells crashes of instances from lost connections. Identifiers name incarnations, so that
// an instance ends once.
type CrashDetector struct {
	losses map[directory.InstanceID][]Loss
	count  int
	ended  map[directory.InstanceID]time.Duration
	// expiredAt is when what is too old was looked for last.
	expiredAt time.Duration
}

// NewCrashDetector returns a witness that has seen nothing.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{losses: make(map[directory.InstanceID][]Loss), ended: make(map[directory.InstanceID]time.Duration)}
}

// Lost takes a loss, and returns those that are now known to be of a crash.
func (w *CrashDetector) Lost(now time.Duration, loss Loss) []Loss {
	w.expire(now)
	if _, ended := w.ended[loss.Instance]; ended {
		return []Loss{loss}
	}
	if w.count < mostLosses {
		w.losses[loss.Instance] = append(w.losses[loss.Instance], loss)
		w.count++
	}
	return nil
}

// Ended takes a proof that the process of an instance ended, and returns the losses that this
// explains.
func (w *CrashDetector) Ended(now time.Duration, id directory.InstanceID) []Loss {
	w.expire(now)
	w.ended[id] = now
	return w.take(id)
}

// Waiting returns the instances of which losses wait for a proof.
func (w *CrashDetector) Waiting() []directory.InstanceID {
	waiting := make([]directory.InstanceID, 0, len(w.losses))
	for id := range w.losses {
		waiting = append(waiting, id)
	}
	return waiting
}

func (w *CrashDetector) take(id directory.InstanceID) []Loss {
	taken := w.losses[id]
	delete(w.losses, id)
	w.count -= len(taken)
	return taken
}

// expire forgets losses without a proof, and instances that ended long ago.
func (w *CrashDetector) expire(now time.Duration) {
	if now-w.expiredAt < expireInterval {
		return
	}
	w.expiredAt = now
	for id, losses := range w.losses {
		if now-losses[len(losses)-1].Ended > confirmTime {
			w.take(id)
		}
	}
	for id, at := range w.ended {
		if now-at > endedTime {
			delete(w.ended, id)
		}
	}
}

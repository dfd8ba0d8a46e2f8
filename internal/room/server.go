package room

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// serviceSmoothing is the weight of the latest answer in a server's mean service time.
	serviceSmoothing = 0.15
	// A server is ejected after ejectionFailures consecutive failures, for ejectionTime, which
	// doubles with each further ejection up to maxEjectionTime.
	ejectionFailures = 3
	ejectionTime     = time.Second
	maxEjectionTime  = 8 * time.Second
)

// server is the state of one server.
type server struct {
	id       directory.InstanceID
	slots    int
	inFlight int
	// serviceTime is a moving mean; zero before the first answer.
	serviceTime  time.Duration
	failures     int
	ejections    int
	ejectedUntil time.Duration
	usedAt       time.Duration
}

// end records the end of a request.
func (s *server) end(now time.Duration, end End, rounds float64) {
	s.inFlight--
	s.usedAt = now
	switch end.Outcome {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.updateServiceTime(min(max(end.Took, 0), maxDeadline), rounds)
	case Failed:
		s.failures++
		if s.failures >= ejectionFailures {
			s.failures = 0
			s.ejectedUntil = now + min(ejectionTime<<s.ejections, maxEjectionTime)
			s.ejections = min(s.ejections+1, int(maxEjectionTime/ejectionTime))
		}
	default:
	}
}

// updateServiceTime adds a sample: the time that a request took, including its wait behind others.
func (s *server) updateServiceTime(took time.Duration, rounds float64) {
	sample := time.Duration(float64(took) / rounds)
	if s.serviceTime == 0 {
		s.serviceTime = sample
	}
	s.serviceTime += time.Duration(serviceSmoothing * float64(sample-s.serviceTime))
}

// rounds returns how many service times one more request is expected to take; requests beyond the
// slots wait for others.
func (s *server) rounds() float64 {
	return 1 + float64(max(0, s.inFlight+1-s.slots))/float64(s.slots)
}

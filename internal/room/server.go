package room

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// serviceSmoothing is the weight of the newest answer in a server's mean.
	serviceSmoothing = 0.15
	// failuresInRow without an answer leave a server out for rest, doubled each time up to
	// longestRest.
	failuresInRow = 3
	rest          = time.Second
	longestRest   = 8 * time.Second
)

// server is what is known of one server.
type server struct {
	id       directory.InstanceID
	slots    int
	inFlight int
	// serviceTime is a moving mean; zero before the first answer.
	serviceTime time.Duration
	failures    int
	rests       int
	restsUntil  time.Duration
	usedAt      time.Duration
}

// end takes the end of a request.
func (s *server) end(now time.Duration, end End, rounds float64) {
	s.inFlight--
	s.usedAt = now
	switch end.Outcome {
	case Answered:
		s.failures, s.rests = 0, 0
		s.learn(min(max(end.Took, 0), longestDeadline), rounds)
	case Failed:
		s.failures++
		if s.failures >= failuresInRow {
			s.failures = 0
			s.restsUntil = now + min(rest<<s.rests, longestRest)
			s.rests = min(s.rests+1, int(longestRest/rest))
		}
	default:
	}
}

// learn takes the time that a request needed, its wait behind others included.
func (s *server) learn(took time.Duration, rounds float64) {
	alone := time.Duration(float64(took) / rounds)
	if s.serviceTime == 0 {
		s.serviceTime = alone
	}
	s.serviceTime += time.Duration(serviceSmoothing * float64(alone-s.serviceTime))
}

// rounds is how many service times one more request takes: those beyond the slots wait.
func (s *server) rounds() float64 {
	return 1 + float64(max(0, s.inFlight+1-s.slots))/float64(s.slots)
}

package backend

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// PathFault takes a Fault by POST, which replaces the one in force, and
// answers the one in force by GET.
const PathFault = "/.lab/fault"

const (
	maxHang           = 30 * time.Second
	maxLateMs         = 60_000
	crossingPatience  = 500 * time.Millisecond
	maxFaultedAnswers = 1_000_000
)

// Fault tells a stand-in how to misbehave. The zero Fault is good behaviour.
type Fault struct {
	// HangHealth lets health requests wait until the fault is lifted.
	HangHealth bool `json:"hang_health,omitempty"`
	// HoldExecutions keeps started requests executing until the fault is
	// lifted, at most maxHang.
	HoldExecutions bool `json:"hold_executions,omitempty"`
	// HealthLie answers the opposite of the truth.
	HealthLie bool `json:"health_lie,omitempty"`
	// LoadLie multiplies the reported load; zero leaves the configured factor.
	LoadLie float64 `json:"load_lie,omitempty"`
	// DropAnswers closes the connection in mid-answer, after execution, for
	// the next so many requests.
	DropAnswers int `json:"drop_answers,omitempty"`
	// LateAnswers holds the next so many answers back by LateMs, after
	// execution.
	LateAnswers int   `json:"late_answers,omitempty"`
	LateMs      int64 `json:"late_ms,omitempty"`
	// CrossAnswers exchanges the next so many answers pairwise.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// RefuseAll sheds each request.
	RefuseAll bool `json:"refuse_all,omitempty"`
	// SlowFactor multiplies service times; zero stands for 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}

// Validate names the first field that is wrong.
func (f Fault) Validate() error {
	switch {
	case f.LoadLie < 0:
		return eris.Errorf("load_lie: is %g: give 0 or more", f.LoadLie)
	case f.SlowFactor < 0:
		return eris.Errorf("slow_factor: is %g: give 0 or more", f.SlowFactor)
	case f.LateMs < 0 || f.LateMs > maxLateMs:
		return eris.Errorf("late_ms: is %d: give 0 to %d", f.LateMs, maxLateMs)
	case !countInRange(f.DropAnswers):
		return eris.Errorf("drop_answers: is %d: give 0 to %d", f.DropAnswers, maxFaultedAnswers)
	case !countInRange(f.LateAnswers):
		return eris.Errorf("late_answers: is %d: give 0 to %d", f.LateAnswers, maxFaultedAnswers)
	case !countInRange(f.CrossAnswers):
		return eris.Errorf("cross_answers: is %d: give 0 to %d", f.CrossAnswers, maxFaultedAnswers)
	}
	return nil
}

func countInRange(count int) bool {
	return count >= 0 && count <= maxFaultedAnswers
}

// faultState is the fault in force. It is safe for concurrent use.
type faultState struct {
	mutex   sync.Mutex
	fault   Fault
	changed chan struct{}
	// parked is the answer that waits for another one to be exchanged with.
	parked *crossing
}

// crossing is one answer on offer; the partner sends its own into given.
type crossing struct {
	answer answer
	given  chan answer
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{})}
}

func (s *faultState) get() Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fault
}

func (s *faultState) set(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitWhile waits until the condition no longer holds, at most maxHang.
func (s *faultState) waitWhile(condition func(Fault) bool) {
	timer := time.NewTimer(maxHang)
	defer timer.Stop()
	for {
		fault, changed := s.watch()
		if !condition(fault) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// watch returns the fault in force and a channel that closes at the next change.
func (s *faultState) watch() (Fault, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fault, s.changed
}

func (s *faultState) takeDrop() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return takeOne(&s.fault.DropAnswers)
}

// takeLate returns how long to hold the answer back.
func (s *faultState) takeLate() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !takeOne(&s.fault.LateAnswers) {
		return 0
	}
	return time.Duration(s.fault.LateMs) * time.Millisecond
}

func takeOne(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// cross exchanges the answer with that of another request while the fault asks
// for it. Without a partner within crossingPatience the answer stays.
func (s *faultState) cross(own answer) answer {
	s.mutex.Lock()
	if !takeOne(&s.fault.CrossAnswers) {
		s.mutex.Unlock()
		return own
	}
	if partner := s.parked; partner != nil {
		s.parked = nil
		s.mutex.Unlock()
		partner.given <- own
		return partner.answer
	}
	offer := &crossing{answer: own, given: make(chan answer, 1)}
	s.parked = offer
	s.mutex.Unlock()
	return s.awaitPartner(offer)
}

func (s *faultState) awaitPartner(offer *crossing) answer {
	timer := time.NewTimer(crossingPatience)
	defer timer.Stop()
	select {
	case given := <-offer.given:
		return given
	case <-timer.C:
	}
	s.mutex.Lock()
	taken := s.parked != offer
	if !taken {
		s.parked = nil
	}
	s.mutex.Unlock()
	if taken {
		return <-offer.given
	}
	return offer.answer
}

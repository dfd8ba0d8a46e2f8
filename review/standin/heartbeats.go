package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// retryPause is the time between two calls while keys are let go, or after a call that was not acknowledged.
	retryPause = 90 * time.Millisecond
	// handover is the token that a server leaves for the next holder of its keys.
	handover = "5c0e7a21d94b36f8"
)

// beatState is what a server knows of its heartbeats. It is not safe for concurrent use.
type beatState struct {
	sequence uint64
	// target is the address that the last answer named; empty for none.
	target string
	// order is the order in which the server calls the controllers while it knows no such address, and failed
	// the number of calls in a row that were not acknowledged.
	order  []int
	failed int
	// link is the path to the controllers while the server is partitioned from them; nil for none.
	link *cutLink
	// draining is true once the server announces that it leaves, and drainAcknowledged once a controller has
	// acknowledged that.
	draining          bool
	drainAcknowledged bool
	// calling is true while a heartbeat waits for its answer.
	calling bool
	// sent gets an entry when a heartbeat is sent. An entry in wake lets the server send the next one at once.
	sent, wake chan struct{}
}

func newBeatState() beatState {
	state := beatState{sent: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	for index := range controllerCount {
		state.order = append(state.order, index)
	}
	return state
}

// next returns the address for the next heartbeat.
func (b *beatState) next(f *fleet) string {
	if b.target != "" {
		return b.target
	}
	target := f.controlAddress(b.order[b.failed%len(b.order)])
	if b.link != nil {
		return b.link.paths[target]
	}
	return target
}

// notAcknowledged records that a call failed: the next one goes to the next controller.
func (b *beatState) notAcknowledged() {
	if b.target == "" {
		b.failed++
	}
	b.target = ""
}

// callFirst lets the server call the given controllers first once the address that it knows fails, and callLast
// last. A server may call them in any order.
func (b *beatState) callFirst(first []int) {
	b.order = append(slices.Clone(first), b.without(first)...)
}

func (b *beatState) callLast(last []int) { b.order = append(b.without(last), last...) }

func (b *beatState) without(excluded []int) []int {
	return slices.DeleteFunc(slices.Clone(b.order), func(index int) bool { return slices.Contains(excluded, index) })
}

// sendHeartbeats sends a heartbeat at each interval, and sooner while keys are let go or none is acknowledged.
func (s *server) sendHeartbeats() {
	for {
		due := time.Now().Add(heartbeatMs * time.Millisecond)
		if again := s.sendHeartbeat(); again {
			due = time.Now().Add(retryPause)
		}
		select {
		case <-s.stopped:
			return
		case <-s.beats.wake:
		case <-time.After(time.Until(due)):
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether the next one is due at once.
func (s *server) sendHeartbeat() (again bool) {
	target, sequence, draining, body := s.composeHeartbeat()
	sent := time.Now()
	status, content, err := call(target, "/v1/instances/"+s.id+"/heartbeat", body)
	if s.isStopped() {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beats.calling = false
	if err != nil || status != http.StatusOK {
		s.record.note("server %s: heartbeat %d to %s failed: %d %v", s.id, sequence, target, status, err)
		s.beats.notAcknowledged()
		return true
	}
	s.beats.drainAcknowledged = s.beats.drainAcknowledged || draining
	s.takeAnswer(sequence, sent, content)
	return s.keys.letsGo()
}

// composeHeartbeat returns the next heartbeat, whether it says that the server leaves, and the address that it goes
// to.
func (s *server) composeHeartbeat() (target string, sequence uint64, draining bool, body []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beats.sequence++
	s.beats.calling = true
	state := "ready"
	if s.beats.draining {
		state = "draining"
	}
	held, released := s.keys.report()
	handed := [][3]any{}
	for _, r := range released {
		handed = append(handed, [3]any{r[0], r[1], handover})
	}
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "slots": serverSlots, "state": state,
		"warm_up_left_ms": 0, "sequence": s.beats.sequence, "holdings": append([]row{}, held...), "released": handed,
	})
	if err != nil {
		panic(err) // all of it can be encoded
	}
	select {
	case s.beats.sent <- struct{}{}:
	default:
	}
	return s.beats.next(s.fleet), s.beats.sequence, s.beats.draining, body
}

// takeAnswer applies the answer to a heartbeat. The mutex must be held.
func (s *server) takeAnswer(sequence uint64, sent time.Time, content []byte) {
	var granted struct {
		Address  string    `json:"heartbeat_address"`
		Holdings *[][4]any `json:"holdings"`
		LeaseMs  int64     `json:"lease_ms"`
	}
	if json.Unmarshal(content, &granted) != nil {
		return
	}
	s.beats.target = granted.Address
	s.beats.failed = 0
	if granted.Holdings == nil {
		s.record.note("server %s: heartbeat %d is acknowledged, nothing is renewed", s.id, sequence)
		return
	}
	var rows []row
	for _, cells := range *granted.Holdings {
		rows = append(rows, row{int64(cells[0].(float64)), int64(cells[1].(float64)), int64(cells[2].(float64))})
	}
	s.keys.grant(rows, sent.Add(time.Duration(granted.LeaseMs)*time.Millisecond))
	s.history.add(holdingSince{at: time.Now(), leaseEnd: s.keys.leaseEnd, rows: s.keys.held})
	s.record.note("server %s: heartbeat %d is acknowledged, %s", s.id, sequence, fmt.Sprintf("it holds %d keys for %d ms", s.keys.count(), granted.LeaseMs))
}

// wakeUp lets the server send its next heartbeat at once, or right after the answer to the current one.
func (s *server) wakeUp() {
	select {
	case s.beats.wake <- struct{}{}:
	default:
	}
}

// awaitHeartbeat waits until the server has sent its next heartbeat.
func (s *server) awaitHeartbeat(ctx context.Context) error {
	select {
	case <-s.beats.sent:
	default:
	}
	select {
	case <-s.beats.sent:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("server %s sent no heartbeat in time", s.id)
	}
}

// update changes the state of the server's heartbeats.
func (s *server) update(change func(*beatState)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.beats)
}

// heldKeys returns how many keys the server holds.
func (s *server) heldKeys() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.keys.count()
}

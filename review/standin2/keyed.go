package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// row is a range of keys that a server holds under a fence.
type row struct{ first, last, fence int }

// holder is a server of a service divided by key, which takes keys and lets them go as the pages say.
type holder struct {
	fleet    *fleet
	id       string
	address  string
	interval time.Duration

	mutex    sync.Mutex
	nodes    []string
	beatAt   string
	sequence int
	rows     map[row]bool
	until    time.Time
	cut      bool
	history  []tenure
}

// tenure is the time for which a server held a row; ended is zero while it holds it.
type tenure struct {
	row
	began, ended time.Time
}

func newHolder(f *fleet, id string, interval time.Duration, nodes []string) (*holder, error) {
	listener, err := net.Listen("tcp", f.newIP()+":0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_ = connection.Close()
		}
	}()
	h := &holder{fleet: f, id: id, address: listener.Addr().String(), interval: interval, nodes: nodes, rows: make(map[row]bool)}
	go h.run()
	return h, nil
}

func (h *holder) run() {
	for {
		began := time.Now()
		again := h.beat()
		pause := h.interval - time.Since(began)
		if again {
			pause = 100*time.Millisecond - time.Since(began)
		}
		h.sleep(pause)
	}
}

// sleep waits, and lets all keys go once the lease has run out.
func (h *holder) sleep(pause time.Duration) {
	for end := time.Now().Add(pause); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		h.expire()
	}
}

func (h *holder) expire() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.rows) > 0 && time.Now().After(h.until) {
		h.fleet.record.note("server %s: its lease has run out, %d rows", h.id, len(h.rows))
		h.letGo(func(row) bool { return true }, h.until)
	}
}

// letGo lets rows go. The mutex must be held.
func (h *holder) letGo(which func(row) bool, at time.Time) (gone []row) {
	for held := range h.rows {
		if !which(held) {
			continue
		}
		delete(h.rows, held)
		gone = append(gone, held)
		for index := range h.history {
			if h.history[index].row == held && h.history[index].ended.IsZero() {
				h.history[index].ended = at
			}
		}
	}
	return gone
}

// beat sends one heartbeat, and reports whether the next one is due at once.
func (h *holder) beat() (again bool) {
	h.mutex.Lock()
	h.sequence++
	holds := [][]any{}
	for held := range h.rows {
		holds = append(holds, []any{held.first, held.last, held.fence})
	}
	body := map[string]any{
		"service": "k", "address": h.address, "zone": zones[0], "slots": 4, "state": "ready", "warm_up_left_ms": 0,
		"sequence": h.sequence, "holdings": holds, "released": [][]any{},
	}
	targets := append([]string{h.beatAt}, h.nodes...)
	cut := h.cut
	h.mutex.Unlock()
	if cut {
		h.sleep(time.Second) // nothing comes back
		return false
	}
	for _, target := range targets {
		if target == "" {
			continue
		}
		sent := time.Now()
		code, content, err := post(target, "/v1/instances/"+h.id+"/heartbeat", body)
		if err == nil && code == http.StatusOK && time.Since(sent) < time.Second {
			return h.take(sent, content)
		}
		h.mutex.Lock()
		h.beatAt = ""
		h.sequence++
		body["sequence"] = h.sequence
		h.mutex.Unlock()
		h.expire()
	}
	return true
}

// take applies the answer to a heartbeat that was sent at a time.
func (h *holder) take(sent time.Time, content []byte) (again bool) {
	var answer struct {
		Address string   `json:"heartbeat_address"`
		Rows    *[][]any `json:"holdings"`
		LeaseMs int      `json:"lease_ms"`
	}
	if json.Unmarshal(content, &answer) != nil {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.cut {
		return false
	}
	if answer.Address != "" {
		h.beatAt = answer.Address
	}
	if answer.Rows == nil {
		return false
	}
	granted := make(map[row]bool)
	for _, cells := range *answer.Rows {
		granted[row{int(cells[0].(float64)), int(cells[1].(float64)), int(cells[2].(float64))}] = true
	}
	now := time.Now()
	gone := h.letGo(func(held row) bool { return !granted[held] }, now)
	taken := 0
	for each := range granted {
		if !h.rows[each] {
			h.rows[each] = true
			h.history = append(h.history, tenure{row: each, began: now})
			taken++
		}
	}
	h.until = sent.Add(time.Duration(answer.LeaseMs) * time.Millisecond)
	if taken+len(gone) > 0 {
		h.fleet.record.note("server %s: takes %d rows, lets %d go, holds %d for %d ms from its heartbeat", h.id, taken, len(gone), len(h.rows), answer.LeaseMs)
	}
	return len(gone) > 0
}

func (h *holder) setCut(cut bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.cut = cut
	h.fleet.record.note("server %s: cut off from the core %v", h.id, cut)
}

func (h *holder) holds() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.rows)
}

func (h *holder) tenures() []tenure {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]tenure{}, h.history...)
}

// longestOverlap returns the longest time for which two servers held the same keys.
func longestOverlap(one, other *holder) (longest time.Duration, what string) {
	now := time.Now()
	for _, a := range one.tenures() {
		for _, b := range other.tenures() {
			if a.first > b.last || b.first > a.last {
				continue
			}
			ends := []time.Time{a.ended, b.ended}
			for index := range ends {
				if ends[index].IsZero() {
					ends[index] = now
				}
			}
			from, to := a.began, ends[0]
			if b.began.After(from) {
				from = b.began
			}
			if ends[1].Before(to) {
				to = ends[1]
			}
			if both := to.Sub(from); both > longest {
				longest = both
				what = fmt.Sprintf("keys %d to %d fence %d and keys %d to %d fence %d", a.first, a.last, a.fence, b.first, b.last, b.fence)
			}
		}
	}
	return longest, what
}

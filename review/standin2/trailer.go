package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	trailerServers = 6
	// faultyServers of them spoil spoiledShare of their answers.
	faultyServers   = 3
	spoiledShare    = 0.03
	trailerRequests = 900
	trailerPause    = 25 * time.Millisecond
	workTime        = 20 * time.Millisecond
)

// trailerTaken is the case of servers that spoil a few of their answers: behind the body of a whole answer comes
// a trailer with the name of the field by which servers turn requests away.
func trailerTaken(f *fleet, trouble bool) int {
	controllers, fronts, err := deployment(f, 2)
	if err != nil {
		return notRun(err)
	}
	op := &operator{fleet: f, nodes: func() []*machine { return controllers }}
	routes := []map[string]any{route("r", "a.example", "/a/", "at_most_once", "s", 7)}
	if status, _ := op.order("/v1/items", items(routes, []map[string]any{service("s", false, 7)}), 40*time.Second); status != http.StatusOK {
		return notRun("the first configuration was not taken")
	}
	runs := &runLog{starts: make(map[string]int)}
	for index := range trailerServers {
		spoils := trouble && index < faultyServers
		answer := func(s *server, r *http.Request, body []byte, connection net.Conn) bool {
			return runs.answer(s, r, body, connection, spoils)
		}
		if _, err := newServer(f, fmt.Sprintf("i-%d", index+1), "s", f.newIP(), controlAddresses(f, controllers), answer); err != nil {
			return notRun(err)
		}
	}
	users := newClient(f)
	if !users.awaitService(fronts, 40*time.Second) {
		return notRun("no request is served")
	}
	refused := make(map[string]bool)
	for index := range trailerRequests {
		id := fmt.Sprintf("%08x", 100000+index)
		status, _ := users.try(fronts[index%len(fronts)], "POST", "/a/order", id, "")
		refused[id] = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		time.Sleep(trailerPause)
	}
	time.Sleep(time.Second)
	twice, refusedAndRun := runs.count(refused)
	f.record.note("%d requests, ends by status %v; run more than once: %d; refused and run: %d", users.sent, users.ends, twice, refusedAndRun)
	fmt.Printf("%d requests, ends by status %v; run more than once: %d; refused and run: %d\n", users.sent, users.ends, twice, refusedAndRun)
	if twice > 0 {
		fmt.Println("TWICE: requests that are not idempotent were run more than once")
		return ruleBroken
	}
	return ruleHeld
}

// runLog counts how often servers began to work on each request. It is safe for concurrent use.
type runLog struct {
	mutex  sync.Mutex
	starts map[string]int
}

// answer runs a request and answers it whole, in chunks.
func (l *runLog) answer(s *server, r *http.Request, body []byte, connection net.Conn, spoils bool) bool {
	s.note(r, body)
	id := r.Header.Get("Thorntiller-Attempt-Id")
	l.mutex.Lock()
	l.starts[id]++
	l.mutex.Unlock()
	time.Sleep(workTime)
	trailer := ""
	if spoils && rand.Float64() < spoiledShare {
		trailer = "Thorntiller-Not-Executed: 1\r\n"
		s.fleet.record.note("server %s spoils its answer to %s", s.id, id)
	}
	text := "done by " + s.id
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nThorntiller-Attempt-Id: %s\r\nThorntiller-Server-Seal: seal-%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n",
		id, s.id, len(text), text, trailer)
	return err == nil
}

// count returns how many requests ran more than once, and how many ran though they were refused.
func (l *runLog) count(refused map[string]bool) (twice, refusedAndRun int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, starts := range l.starts {
		if _, counted := refused[id]; counted && starts > 1 {
			twice++
		}
		if refused[id] {
			refusedAndRun++
		}
	}
	return twice, refusedAndRun
}

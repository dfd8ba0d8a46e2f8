package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// surplusDelay is how long after a refusal a faulty server sends the same answer once more.
	surplusDelay = 20 * time.Millisecond
	// refusedShare is the share of the requests that the servers turn away with 429.
	refusedShare = 0.05
	// surplusRequests are sent, one each surplusGap.
	surplusRequests = 600
	surplusGap      = 75 * time.Millisecond
	// settleTime is enough for the keys to be given out, and for the servers to learn of them.
	settleTime = 6 * time.Second
)

// surplusItems route two kinds of orders, which may run once at most, to a service that is divided by key.
const surplusItems = `{"set":{"routes":[
	{"name":"r-transfer","host":"bank.example","prefix":"/transfer/","kind":"at_most_once","timeout_ms":1200,"target_latency_ms":300,"priority":0,"service":"ledger-view","max_attempts":2,"version":3},
	{"name":"r-payout","host":"bank.example","prefix":"/payout/","kind":"at_most_once","timeout_ms":1200,"target_latency_ms":300,"priority":0,"service":"ledger-view","max_attempts":3,"version":3}],
	"services":[{"name":"ledger-view","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"keyed":true,"warm_seconds":2.0,"grants":"heartbeat","version":3}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000,"version":3}},"remove":{"routes":[]}}`

// surplusAnswers lets servers of a service that is divided by key turn some requests away and, if trouble is
// true, send that answer a second time a little later. A request that may not be repeated must run once at
// most, and not at all if its client got the promise that it does not.
func surplusAnswers(ctx context.Context, record *recorder, program string, trouble bool) (broken bool, err error) {
	f, err := newFleet(program, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startConfigured(ctx, surplusItems); err != nil {
		return false, err
	}
	var servers []*server
	for number := range 3 {
		s, err := newServer(f, record, fmt.Sprintf("i-%d", number+1), zones[number])
		if err != nil {
			return false, err
		}
		s.reject = rejectSome
		if trouble {
			s.answer = writeSurplus
		}
		s.start()
		defer s.stop()
		servers = append(servers, s)
	}
	if err := f.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	clients := newClient(record)
	sendOrders(f, clients)
	time.Sleep(2 * time.Second) // whatever is still on its way arrives
	return checkPromises(record, clients, servers), nil
}

// rejectSome turns a share of the requests away.
func rejectSome() int {
	if rand.Float64() < refusedShare {
		return http.StatusTooManyRequests
	}
	return 0
}

// writeSurplus writes the answer, and a refusal a second time a little later.
func writeSurplus(s *server, c *serverConnection, a answer) error {
	if err := writeWhole(s, c, a); err != nil {
		return err
	}
	if a.notRun {
		time.AfterFunc(surplusDelay, func() {
			s.record.note("server %s sends its answer to %s a second time: %d", s.id, a.id, a.status)
			_ = c.write(a.encode(s.id))
		})
	}
	return nil
}

// sendOrders sends orders at a constant rate, one transfer for two payouts, and waits for all answers.
func sendOrders(f *fleet, clients *client) {
	var group sync.WaitGroup
	ticker := time.NewTicker(surplusGap)
	defer ticker.Stop()
	for number := range surplusRequests {
		group.Add(1)
		go func() {
			defer group.Done()
			path := fmt.Sprintf("/transfer/%d", number)
			if number%3 != 0 {
				path = fmt.Sprintf("/payout/%d", number)
			}
			clients.send(f.frontAddress(number/2%f.gatewayCount), outgoing{
				method: http.MethodPost, host: "bank.example", path: path, key: fmt.Sprint(rand.IntN(keyCount)),
				body: fmt.Sprintf("order %d", number), deadline: 1200 * time.Millisecond,
			})
		}()
		<-ticker.C
	}
	group.Wait()
}

// maxReported bounds the broken promises that are printed one by one.
const maxReported = 5

// checkPromises checks the rule TWICE: no request runs more than once. It also reports requests that ran though they
// were answered with the promise that they do not, which is another rule and does not decide. It goes by what the
// clients and the servers have seen.
func checkPromises(record *recorder, clients *client, servers []*server) (broken bool) {
	runs := make(map[string]int)
	for _, s := range servers {
		for id, count := range s.runsOf() {
			runs[id] += count
		}
	}
	statuses := make(map[int]int)
	twice, refused := 0, 0
	for id, status := range clients.outcomesOf() {
		statuses[status]++
		if runs[id] > 1 {
			twice++
			record.report(twice, "TWICE: %s ran %d times; its client got %d", id, runs[id], status)
		}
		if isPromise(status) && runs[id] > 0 {
			refused++
			record.report(refused, "REFUSED: %s was answered with %d and has run", id, status)
		}
	}
	record.say("%d requests that may not be repeated, by status %v: %d ran more than once, %d have run though their clients got the promise that they had not",
		len(clients.outcomesOf()), statuses, twice, refused)
	return twice > 0
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

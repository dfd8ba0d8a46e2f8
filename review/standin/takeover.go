package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const keyedItems = `{"set":{"routes":[
	{"name":"r-look","host":"bank.example","prefix":"/look/","kind":"repeatable","timeout_ms":2000,"target_latency_ms":500,"priority":2,"service":"ledger-view","max_attempts":2,"version":3}],
	"services":[{"name":"ledger-view","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"keyed":true,"warm_seconds":2.0,"grants":"heartbeat","version":3}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000,"version":3}},"remove":{"routes":[]}}`

// roundsTime is enough for a server that is cut off to call each controller twice, each for a second.
const roundsTime = 2*controllerCount*(time.Second+retryPause) + 200*time.Millisecond

// lateHeartbeats lets a server start behind a cut, crash and start again at its address, as another
// incarnation. The heartbeats of the first incarnation arrive late. No key may have two holders.
func lateHeartbeats(ctx context.Context, record *recorder, program string, trouble bool) (broken bool, err error) {
	f, err := newFleet(program, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startConfigured(ctx, keyedItems); err != nil {
		return false, err
	}
	first, link, err := f.startCutOff(record, "i-first", trouble)
	if err != nil {
		return false, err
	}
	defer link.close()
	time.Sleep(roundsTime)
	address := first.listener.Addr().String()
	first.stop()
	record.say("server i-first has crashed, and starts again as i-second at its address %s; the cut has healed", address)
	servers, err := startServers(f, record, []string{"i-second", "i-other-1", "i-other-2"}, address)
	if err != nil {
		return false, err
	}
	for _, s := range servers {
		defer s.stop()
	}
	if err := f.awaitReady(ctx); err != nil {
		return false, err
	}
	defer startTraffic(f, record).stop()
	if err := awaitKeys(ctx, servers); err != nil {
		return false, err
	}
	from := time.Now()
	if err := deliverRounds(ctx, record, link, servers[0]); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	return checkOwners(record, append(servers, first), from, time.Now()), nil
}

// startCutOff starts a server that is partitioned from the controllers if trouble is true.
func (f *fleet) startCutOff(record *recorder, id string, trouble bool) (*server, *cutLink, error) {
	var controllers []string
	for index := range controllerCount {
		controllers = append(controllers, f.controlAddress(index))
	}
	link, err := newCutLink(record, controllers)
	if err != nil {
		return nil, nil, err
	}
	s, err := newServer(f, record, id, zones[0])
	if err != nil {
		link.close()
		return nil, nil, err
	}
	if trouble {
		s.beats.link = link
	}
	s.start()
	record.say("server %s starts; it is cut off from the controllers: %v", id, trouble)
	return s, link, nil
}

// startServers starts servers, the first one at a given address.
func startServers(f *fleet, record *recorder, names []string, address string) ([]*server, error) {
	var servers []*server
	for number, name := range names {
		at := "127.0.0.1:0"
		if number == 0 {
			at = address
		}
		s, err := newServerAt(f, record, name, zones[number%len(zones)], at)
		if err != nil {
			return nil, err
		}
		s.start()
		servers = append(servers, s)
	}
	return servers, nil
}

// awaitKeys waits until each server holds keys, and some time more, so that the fleet is at rest.
func awaitKeys(ctx context.Context, servers []*server) error {
	for _, s := range servers {
		for s.heldKeys() == 0 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("server %s got no keys in time", s.id)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

const (
	// afterHeartbeat is how long after a heartbeat of the server the first late one arrives.
	afterHeartbeat = 100 * time.Millisecond
	// roundGap is the time between the arrivals of the two calls to each controller: they were sent on different
	// connections, whose packets are sent again at different times once the cut has healed. It is shorter than
	// the time between two heartbeats of the server.
	roundGap = 700 * time.Millisecond
)

// deliverRounds delivers the heartbeats that were held up: first those of the first round over all
// controllers, then those of the second one. It begins soon after a heartbeat of the given server.
func deliverRounds(ctx context.Context, record *recorder, link *cutLink, after *server) error {
	if err := after.awaitHeartbeat(ctx); err != nil {
		return err
	}
	time.Sleep(afterHeartbeat)
	calls := make(map[string]int)
	var rounds [2][]*heldCall
	for _, held := range link.calls() {
		if round := calls[held.target]; round < len(rounds) {
			rounds[round] = append(rounds[round], held)
		}
		calls[held.target]++
	}
	for _, round := range rounds {
		record.say("%d heartbeats that were held up arrive", len(round))
		for _, held := range round {
			go link.deliver(held)
		}
		time.Sleep(roundGap)
	}
	return nil
}

// traffic sends keyed requests at a low rate until it is stopped.
type traffic struct {
	ended, done chan struct{}
}

const trafficGap = 40 * time.Millisecond

func startTraffic(f *fleet, record *recorder) *traffic {
	t := &traffic{ended: make(chan struct{}), done: make(chan struct{})}
	clients := newClient(record)
	const step = 7919 // a prime number, so that the keys of following requests lie far apart
	go func() {
		defer close(t.done)
		for number := 0; ; number++ {
			select {
			case <-t.ended:
				return
			case <-time.After(trafficGap):
			}
			go clients.send(f.frontAddress(number%f.gatewayCount), outgoing{
				method: http.MethodGet, host: "bank.example", path: fmt.Sprintf("/look/%d", number),
				key: fmt.Sprint(number * step % keyCount), deadline: 2 * time.Second,
			})
		}
	}()
	return t
}

func (t *traffic) stop() {
	close(t.ended)
	<-t.done
}

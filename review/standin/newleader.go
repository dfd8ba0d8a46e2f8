package main

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// newLeader lets a server start behind a cut, which holds up its first heartbeats. Later, when the server holds
// keys and leaves as planned, the leading control machine freezes, and the heartbeats of long ago arrive at the
// next leader. No key may have two holders.
func newLeader(ctx context.Context, record *recorder, program string, trouble bool) (broken bool, err error) {
	f, err := newFleet(program, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startConfigured(ctx, keyedItems); err != nil {
		return false, err
	}
	leaving, link, err := f.startCutOff(record, "i-leaving", trouble)
	if err != nil {
		return false, err
	}
	defer link.close()
	time.Sleep(roundsTime)
	leaving.update(func(beats *beatState) { beats.link = nil })
	record.say("the cut has healed for new connections; two more servers start")
	others, err := startServers(f, record, []string{"i-other-1", "i-other-2"}, "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	servers := append([]*server{leaving}, others...)
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
	leader, err := drain(ctx, record, leaving, others[0])
	if err == nil && trouble {
		err = f.changeLeader(ctx, record, link, servers, leader)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	return checkOwners(record, servers, from, time.Now()), nil
}

// drainAfter is how long after a heartbeat of another server the leaving one announces that it leaves. The answer
// to the former is still held back then, so that its server calls again within a second.
const drainAfter = 250 * time.Millisecond

// drain lets a server announce that it leaves, soon after a heartbeat of another one, and waits until that is
// acknowledged. It returns the address of the leading controller.
func drain(ctx context.Context, record *recorder, leaving, other *server) (leader string, err error) {
	for calling := true; calling; {
		if err := other.awaitHeartbeat(ctx); err != nil {
			return "", err
		}
		time.Sleep(drainAfter)
		leaving.update(func(beats *beatState) {
			calling = beats.calling
			beats.draining = !calling
		})
		leaving.wakeUp()
	}
	for acknowledged := false; !acknowledged; time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			return "", errors.New("the leaving server got no acknowledgement in time")
		}
		leaving.update(func(beats *beatState) { leader, acknowledged = beats.target, beats.drainAcknowledged })
	}
	record.say("server %s leaves, which %s acknowledged", leaving.id, leader)
	return leader, nil
}

// changeLeader freezes two control machines: the leading one, and the one that the leaving server calls next.
// When another one leads, what the first cut has held up arrives there.
func (f *fleet) changeLeader(ctx context.Context, record *recorder, link *cutLink, servers []*server, leader string) error {
	frozen := f.chooseFrozen(leader)
	servers[0].update(func(beats *beatState) { beats.callFirst(frozen[1:]) })
	for _, other := range servers[1:] {
		other.update(func(beats *beatState) { beats.callLast(frozen) })
	}
	for _, index := range frozen {
		f.controllers[index].signal(syscall.SIGSTOP)
	}
	record.say("the control machines %s, which leads, and %s freeze", leader, f.controlAddress(frozen[1]))
	next, err := f.awaitLeader(ctx, frozen)
	if err != nil {
		return err
	}
	record.say("%s leads; the heartbeats of the first seconds arrive at the machines that run", next)
	for _, held := range link.calls() {
		if held.target != leader && held.target != f.controlAddress(frozen[1]) {
			link.deliver(held)
		}
	}
	return nil
}

// chooseFrozen returns the numbers of the machines that are to freeze: the leader and another one.
func (f *fleet) chooseFrozen(leader string) []int {
	for index := range controllerCount {
		if f.controlAddress(index) == leader {
			return []int{index, (index + 1) % controllerCount}
		}
	}
	return []int{0, 1}
}

// awaitLeader waits until a controller leads that is not frozen.
func (f *fleet) awaitLeader(ctx context.Context, frozen []int) (string, error) {
	for {
		for index := range controllerCount {
			address := f.controlAddress(index)
			if !slices.Contains(frozen, index) && answersItself(address) {
				return address, nil
			}
		}
		select {
		case <-ctx.Done():
			return "", errors.New("no other controller leads in time")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// answersItself reports whether a controller answers a read of the items without naming another one.
func answersItself(address string) bool {
	status, _, err := callOnce(address, "/v1/items/read", nil)
	return err == nil && status == http.StatusOK
}

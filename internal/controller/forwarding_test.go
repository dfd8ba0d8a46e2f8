package controller

import (
	"fmt"
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// TestServersAreSpreadOverControllers: most servers are referred to a controller of their own network, some to
// any, and none to the leader or back to the controller that refers them. Every other controller, learners
// included, gets a share, so that its load does not grow with the servers of the others.
func TestServersAreSpreadOverControllers(t *testing.T) {
	const zones, each, leader = 5, 2, 1
	var members []consensus.Member
	for zone := range zones {
		for number := range each {
			id := consensus.ReplicaID(zone*each + number + 1)
			members = append(members, consensus.Member{ID: id, APIAddress: fmt.Sprintf("10.%d.0.%d:80", zone+1, number+1)})
		}
	}
	members = append(members, consensus.Member{ID: 99, APIAddress: "10.1.0.9:80", Learner: true})
	for _, servers := range []int{1000, 2000} {
		counts := make(map[consensus.ReplicaID]int)
		near := 0
		for number := range servers {
			zone := number%zones + 1
			other, found := otherController(members, leader, leader, fmt.Sprintf("10.%d.7.8:80", zone), float64(number)/float64(servers))
			if !found || other.ID == leader {
				t.Fatalf("server %d is referred to %+v", number, other)
			}
			counts[other.ID]++
			if wire.SharedNetwork(other.APIAddress, fmt.Sprintf("10.%d.7.8:80", zone)) == 2 {
				near++
			}
		}
		for _, member := range members[1:] {
			if count := counts[member.ID]; count < servers/20 || count > servers/4 {
				t.Errorf("controller %s gets %d of %d servers", member.APIAddress, count, servers)
			}
		}
		if near < servers*2/3 {
			t.Errorf("%d of %d servers are referred to their own network", near, servers)
		}
	}
	if _, found := otherController(members[:1], leader, leader, "10.1.7.8:80", 0.5); found {
		t.Error("a controller without others refers a server to another one")
	}
}

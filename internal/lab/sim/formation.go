package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/membership"
	"github.com/thorntiller/thorntiller/internal/message"
)

const formationInterval = 200 * time.Millisecond

// formation asks the other controllers for the group, as long as this one has
// none or is not one of its voters.
type formation struct {
	controller *controller
	// round numbers the askings, so that late answers are dropped.
	round   int
	answers []message.FormationAnswer
}

func (f *formation) tick() {
	c := f.controller
	if c.replica != nil && membership.IsVoter(c.replica.core.Status().Membership, c.self.Replica) {
		return
	}
	f.round++
	f.answers = nil
	round := f.round
	request := message.FormationRequest{Member: c.member(), Cluster: c.self.Cluster}
	for _, other := range c.sim.controllers {
		if other == c {
			continue
		}
		c.sendOnce(other.process, func() {
			answer := other.formation.serve(request)
			other.sendOnce(c.process, func() { c.formation.take(round, answer) })
		})
	}
}

// serve answers another controller, and lets it join if this one leads.
func (f *formation) serve(request message.FormationRequest) message.FormationAnswer {
	c := f.controller
	if c.replica != nil && request.Cluster != "" && request.Cluster == c.self.Cluster {
		c.replica.join(request.Member)
	}
	return message.FormationAnswer{Member: c.member(), Cluster: c.self.Cluster, Founders: c.self.Founders}
}

func (f *formation) take(round int, answer message.FormationAnswer) {
	c := f.controller
	if round != f.round || c.self.Cluster != "" {
		return
	}
	f.answers = append(f.answers, answer)
	next, decided := durable.Formation{
		Own: c.self, Member: c.member(), First: c == c.sim.controllers[0],
		Others: len(c.sim.controllers) - 1, Answers: f.answers,
	}.Decide(func() message.ClusterID { return "group" })
	if decided {
		f.set(next)
	}
}

// set makes the identity durable before it is told to anyone.
func (f *formation) set(next identity.Identity) {
	c := f.controller
	if err := identity.Save(c.files, dataFolder, next); err != nil {
		c.failed(err)
		return
	}
	c.self = next
	c.startReplica()
}

package gateway

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/link"
)

// messageOverhead is the size of a request or an answer on a link beyond its body, in bytes: about 250 of
// headers, and 40 for each packet and its acknowledgement.
const messageOverhead = 400

// defaultTarget is the target latency of routes that have none.
const defaultTarget = 500 * time.Millisecond

// ownLink admits requests by the capacity of this machine's network link. It is safe for concurrent use.
type ownLink struct {
	mutex     sync.Mutex
	admission *link.Admission
}

func newOwnLink(megabits float64) *ownLink { return &ownLink{admission: link.NewAdmission(megabits)} }

// linkRequest returns the properties of a request that decide its admission.
func (g *Gateway) linkRequest(current *request) link.Request {
	target := current.target()
	if target <= 0 {
		target = defaultTarget
	}
	return link.Request{Now: g.clock.Now(), Route: current.route.Name, Target: target, Deadline: current.deadline - current.arrived, Urgency: current.urgency, Bulk: current.route.Kind == directory.Download}
}

// admitToLink admits a request to the link, or returns why not.
func (g *Gateway) admitToLink(current *request) error {
	g.ownLink.mutex.Lock()
	defer g.ownLink.mutex.Unlock()
	admission := g.ownLink.admission
	reserved, admitted := admission.Admit(g.linkRequest(current))
	if !admitted {
		return fault.Newf(fault.LinkCongested, "answers wait %s before this gateway's link", admission.Delay(g.clock.Now()).Round(time.Millisecond))
	}
	current.reserved = reserved
	return nil
}

// linkFull reports whether a request would wait too long for the link.
func (g *Gateway) linkFull(current *request) bool {
	g.ownLink.mutex.Lock()
	defer g.ownLink.mutex.Unlock()
	return g.ownLink.admission.Full(g.linkRequest(current))
}

// settleLink replaces the reservation of an admitted request by the bytes that it took.
func (g *Gateway) settleLink(current *request, served bool) {
	took := float64(len(current.answer.Body()) + messageOverhead)
	took += float64(current.sentAttempts() * (current.body.Len() + messageOverhead))
	g.ownLink.mutex.Lock()
	defer g.ownLink.mutex.Unlock()
	g.ownLink.admission.Done(g.linkRequest(current), current.reserved, took, served && current.answer.StatusCode() < fasthttp.StatusBadRequest)
}

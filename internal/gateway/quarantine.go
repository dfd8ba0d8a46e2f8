package gateway

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// checkCrashes reports the instances that ended according to a new table to the crash watch.
func (g *Gateway) checkCrashes(table *routing.Table) {
	g.crashes.Check(func(id directory.InstanceID) bool {
		return slices.ContainsFunc(table.Changed, func(changed *directory.Instance) bool { return changed.ID == id && changed.Ended })
	})
}

// otherInstances returns addresses of instances other than the given one.
func (g *Gateway) otherInstances(id directory.InstanceID) []string {
	table := g.subscription.current()
	if table == nil {
		return nil
	}
	var others crashwatch.Others
	for _, name := range table.Services() {
		service, _ := table.Service(name)
		for _, instance := range service.Instances {
			if instance.ID != id && instance.Serving() {
				others.Add(instance.Address)
			}
		}
	}
	return others.Addresses()
}

// rejectQuarantined returns an error for a request in quarantine.
func (g *Gateway) rejectQuarantined(current *request) error {
	if failure := g.guard.Check(&current.suspicion); failure != nil {
		return failure
	}
	return nil
}

// recordAnswered records that an instance answered a request. A status of 500 or above is ignored: it may only
// mean that the request's time ran out.
func (g *Gateway) recordAnswered(current *request) {
	if current.answer.StatusCode() < fasthttp.StatusInternalServerError {
		g.guard.Answered(&current.suspicion)
	}
}

// lostAttempt describes an attempt that ended without an answer, for the crash watch.
func (g *Gateway) lostAttempt(current *request, instance directory.Instance, took time.Duration) crashwatch.Attempt {
	_, leaves := g.signals.leaving(g.clock.Now(), instance.ID)
	return crashwatch.Attempt{
		Service: current.service, Instance: instance.ID, Address: instance.Address, RequestID: current.id,
		Took: took, Leaving: leaves || !instance.Serving(),
	}
}

// recordLoss records an attempt that may have ended with a crash of its instance.
func (g *Gateway) recordLoss(current *request, attempt crashwatch.Attempt, failure *fault.Error) {
	switch failure.Kind {
	case fault.ConnectionLost, fault.AnswerTruncated:
		attempt.ConnectionEnded = !current.interrupt.Fired()
	case fault.DeadlineExceeded:
	default:
		return
	}
	g.guard.Lost(g.crashes, &current.suspicion, attempt)
}

// identify returns the properties by which repetitions of a request are recognised.
func (g *Gateway) identify(current *request) quarantine.Request {
	header := &current.inbound.Header
	return quarantine.Request{
		Method: header.Method(), Host: header.Host(), URI: header.RequestURI(), Caller: callerOf(current),
		Key: header.Peek(g.dialect.Key), Body: current.body.Parts(),
	}
}

// callerOf identifies the caller of a request by its tenant, or else by its credential, and by its cookies.
func callerOf(current *request) string {
	header := &current.inbound.Header
	cookies := header.Peek(fasthttp.HeaderCookie)
	if current.tenant != nil {
		return "tenant " + current.tenant.Name + quarantine.CallerOf(nil, cookies)
	}
	return quarantine.CallerOf(header.Peek(fasthttp.HeaderAuthorization), cookies)
}

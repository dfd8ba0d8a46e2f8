package quarantine

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// The part of the model that decides on trials whose connection was lost.

// leaseTime is how long the leases of servers last, and heartbeatTime is between two heartbeats.
const (
	leaseTime     = 3 * time.Second
	heartbeatTime = time.Second
)

// decideLostTrials ends lost trials by the rule of the scenario.
func (m *model) decideLostTrials() {
	for _, id := range m.ledger.AwaitedInstances() {
		if m.rule != endLostTrials && m.rule != endLostTrialsLater && m.rule != blameLostTrials {
			m.ledger.HandleInstance(m.now, id, m.instanceState(id))
			continue
		}
		for _, e := range m.ledger.entries {
			switch {
			case e.lostTrial == nil || e.trialCrashAt > 0:
			case m.rule == blameLostTrials:
				m.ledger.confirmTrialCrash(m.now, e)
			case m.rule == endLostTrials && m.now-e.lostTrial.at >= confirmTimeout,
				m.rule == endLostTrialsLater && m.now-e.lostTrial.at >= 3*confirmTimeout:
				e.endTrial()
			default:
			}
		}
	}
}

// instanceState returns what the leader knows of an instance by its heartbeats.
func (m *model) instanceState(id directory.InstanceID) InstanceState {
	for _, server := range m.servers {
		if server.id != id {
			continue
		}
		if server.up {
			return InstanceState{HeardAt: m.now - m.now%heartbeatTime}
		}
		heardAt := server.crashedAt - server.crashedAt%heartbeatTime
		return InstanceState{HeardAt: heardAt, LeaseExpired: m.now > heardAt+leaseTime}
	}
	return InstanceState{Ended: true}
}

// loseConnection ends an attempt without an answer, although its server is alive.
func (m *model) loseConnection(server *modelServer, a *attempt) {
	loss := Loss{Fingerprint: a.fingerprint, Path: directory.PathHash(a.fingerprint), Service: "s", Instance: server.id, Began: a.began, Ended: m.now, TrialAsk: a.ask}
	endLostTrial(m.gateways[a.gateway].guard, m.now, a.ask, loss)
}

package gateway

import "time"

// standing says whether requests may be routed by the table that a gateway has.
type standing string

const (
	// standingCurrent: the table has all changes that are older than the staleness limit.
	standingCurrent standing = "current"
	// standingOutage: most likely no controller can acknowledge changes. Requests are routed by the last table.
	standingOutage standing = "outage"
	// standingBehind: proofs arrive, and are too old.
	standingBehind standing = "behind"
	// standingCutOff: no proof arrives, and nothing shows an outage.
	standingCutOff standing = "cut_off"
	// standingUnproved: no proof has arrived yet.
	standingUnproved standing = "unproved"
)

// knowledge is what a gateway knows about changes that its table may lack. Times are negative for never.
type knowledge struct {
	// proofAge is how long ago the table was proved current, and sinceProof how long ago the last proof arrived.
	proofAge, sinceProof time.Duration
	// sinceUnconfirmed is how long ago another gateway was asked that has no proof either. Where there is no other gateway,
	// it is how long ago most controllers refused connections.
	sinceUnconfirmed time.Duration
}

// standing returns the standing of the table by the staleness limit.
func (k knowledge) standing(limit time.Duration) standing {
	within := func(since time.Duration) bool { return since >= 0 && since <= limit }
	switch {
	case k.proofAge < 0:
		return standingUnproved
	case within(k.proofAge):
		return standingCurrent
	case within(k.sinceProof):
		return standingBehind
	case within(k.sinceUnconfirmed):
		return standingOutage
	default:
		return standingCutOff
	}
}

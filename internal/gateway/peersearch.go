package gateway

import (
	"sync"
	"time"
)

// peerSearch finds a gateway whose directory is confirmed. All known gateways are asked, and the first one that proves the
// directory is followed alone, so that changes come once. It is safe for concurrent use.
type peerSearch struct {
	// limit is how long the followed gateway may go without proof until others are asked again.
	limit time.Duration

	mutex sync.Mutex
	// followed is the address of the gateway that proved the directory last, at provedAt; empty for none.
	followed string
	provedAt time.Time
}

// mayAsk reports whether to ask a gateway: no other one proves the directory.
func (p *peerSearch) mayAsk(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.othersProve(address)
}

// claim is called with each proof of a gateway. It reports whether that gateway is the one to follow.
func (p *peerSearch) claim(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.othersProve(address) {
		return false
	}
	p.followed, p.provedAt = address, time.Now()
	return true
}

// release is called when a gateway no longer proves the directory.
func (p *peerSearch) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.followed == address {
		p.followed = ""
	}
}

// othersProve reports whether another gateway than the given one proves the directory. The mutex must be held.
func (p *peerSearch) othersProve(address string) bool {
	return p.followed != "" && p.followed != address && time.Since(p.provedAt) < p.limit
}

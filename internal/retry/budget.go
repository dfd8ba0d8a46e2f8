package retry

import "sync"

// Budget limits resends to a share of fresh requests, with a token bucket: each fresh request adds ratio
// tokens, up to burst; each resend takes one. It is safe for concurrent use.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget returns a full budget. Ratio is the number of resends per fresh request, 0 to 1; burst is the
// largest number of resends without a fresh request between them.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{tokens: float64(burst), ratio: ratio, burst: float64(burst)}
}

// BurstOf returns the burst of each of several senders that together may send slack resends beyond their
// share: an equal part of the slack, but at least one and at most maxBurst. With a fixed burst of two, 985
// gateways that all meet the same failing service would send 1,970 resends beyond their share where 1,040
// are allowed. It returns maxBurst if the slack or the number of senders is not known.
func BurstOf(slack float64, senders, maxBurst int) float64 {
	if slack <= 0 || senders <= 0 {
		return float64(maxBurst)
	}
	return min(max(slack/float64(senders), 1), float64(maxBurst))
}

// SetBurst changes the burst; tokens beyond it are discarded.
func (b *Budget) SetBurst(burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// SetRatio changes the ratio; accumulated tokens are kept.
func (b *Budget) SetRatio(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio = ratio
}

// Fresh records the first attempt of a request.
func (b *Budget) Fresh() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TakeResend takes the token for one resend and reports whether there was one.
func (b *Budget) TakeResend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

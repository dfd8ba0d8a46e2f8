package retry

import "sync"

// Budget bounds resends to a share of the fresh requests. Each fresh request
// adds Ratio tokens, up to a bound; each resend takes one.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget returns a full budget. Ratio is resends for each fresh request, 0
// to 1; burst is the most resends that may follow each other without a fresh
// request between them.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{tokens: float64(burst), ratio: ratio, burst: float64(burst)}
}

// BurstOf returns the burst of each of a number of senders that together may send a slack of
// resends beyond their share, at least one and at most a number: with two each, 985 gateways that
// all met the same failing service would send 1,970 beyond their share where 1,040 are allowed. It
// is the most where the slack or the senders are not known.
func BurstOf(slack float64, senders, most int) float64 {
	if slack <= 0 || senders <= 0 {
		return float64(most)
	}
	return min(max(slack/float64(senders), 1), float64(most))
}

// SetBurst changes the bound on resends that follow each other; tokens above it are lost.
func (b *Budget) SetBurst(burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// SetRatio changes the share; tokens already gathered stay.
func (b *Budget) SetRatio(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio = ratio
}

// Fresh records a request's first attempt.
func (b *Budget) Fresh() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TakeResend takes one resend out of the budget and reports whether there was
// one.
func (b *Budget) TakeResend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

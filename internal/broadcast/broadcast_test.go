package broadcast

import "testing"

func TestRaiseWakesThoseThatWaitedBefore(t *testing.T) {
	b := New()
	first, second := b.Next(), b.Next()
	b.Raise()
	<-first
	<-second
	select {
	case <-b.Next():
		t.Error("one that came later is woken by an earlier change")
	default:
	}
}

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
		t.Error("a channel taken after a change was closed by that change")
	default:
	}
}

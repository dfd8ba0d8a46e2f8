package gateway

import (
	"testing"
	"time"
)

// TestAnswerToAForgottenPingProvesNothing guards against a very late answer that is taken for that of a later ping,
// and so for proof that an old directory is current.
func TestAnswerToAForgottenPingProvesNothing(t *testing.T) {
	machine := &manualClock{}
	pings := &pingLog{clock: machine}
	if _, known := pings.sentAt(0); known {
		t.Error("a message without an answer counts as one")
	}
	began := machine.Now()
	for number := uint64(1); number <= pingsKept+1; number++ {
		if next := pings.next(); next != number {
			t.Fatalf("ping %d, want %d", next, number)
		}
		machine.suspend(time.Second)
	}
	if at, known := pings.sentAt(1); known {
		t.Errorf("the answer to a forgotten ping counts as sent at %s", at-began)
	}
	for _, number := range []uint64{2, pingsKept, pingsKept + 1} {
		if at, known := pings.sentAt(number); !known || at-began != time.Duration(number-1)*time.Second {
			t.Errorf("ping %d was sent at %s, %t", number, at-began, known)
		}
	}
	if _, known := pings.sentAt(pingsKept + 2); known {
		t.Error("the answer to a ping that was not sent counts")
	}
}

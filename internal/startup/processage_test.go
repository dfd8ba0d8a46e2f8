package startup

import (
	"testing"
	"time"
)

func TestProcessAgeGrows(t *testing.T) {
	first, known := ProcessAge()
	if !known || first > time.Hour {
		t.Fatalf("age %s, known %t", first, known)
	}
	time.Sleep(2 * startTimeUnit)
	if second, _ := ProcessAge(); second <= first {
		t.Errorf("age %s after %s", second, first)
	}
}

package cli

import (
	"testing"
	"time"
)

func TestProcessAgeGrows(t *testing.T) {
	first, known := processAge()
	if !known || first > time.Hour {
		t.Fatalf("age %s, known %t", first, known)
	}
	time.Sleep(2 * startTimeUnit)
	if second, _ := processAge(); second <= first {
		t.Errorf("age %s after %s", second, first)
	}
}

package overload

import (
	"testing"

	"github.com/sourcegraph/conc"
)

// TestMemoryIsReturnedOnce guards against a connection that a stop closes while its answer ends, so that both return the
// same memory.
func TestMemoryIsReturnedOnce(t *testing.T) {
	budget := NewBudget(Limits{ConnectionBytes: TypicalConnectionBytes, Bytes: mebibyte, Connections: 10})
	for range 20_000 {
		opened, _ := open(t, budget, 0)
		opened.Reserve(0, mebibyte/2)
		opened.Keep(mebibyte / 4)
		var group conc.WaitGroup
		group.Go(opened.Release)
		group.Go(opened.Close)
		group.Wait()
		if used := budget.Used(); used != 0 {
			t.Fatalf("used %d after everything was returned", used)
		}
	}
}

// TestKeptMemoryIsReturnedAtTheClose guards against a buffer that counts for one request only, though its connection has it
// until it is closed.
func TestKeptMemoryIsReturnedAtTheClose(t *testing.T) {
	budget := NewBudget(Limits{Bytes: mebibyte, Connections: 10})
	opened, _ := open(t, budget, 0)
	opened.Reserve(0, 3000)
	opened.Keep(2000)
	for range 2 {
		opened.Release()
		if used := budget.Used(); used != 2000 {
			t.Errorf("used %d between two requests, want 2000", used)
		}
	}
	opened.Close()
	if used := budget.Used(); used != 0 {
		t.Errorf("used %d after the close", used)
	}
}

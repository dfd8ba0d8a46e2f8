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
		var group conc.WaitGroup
		group.Go(opened.Release)
		group.Go(opened.Close)
		group.Wait()
		if used := budget.Used(); used != 0 {
			t.Fatalf("used %d after everything was returned", used)
		}
	}
}

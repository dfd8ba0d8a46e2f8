package fleet

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestAnswerOfAForgottenServerMakesNoBackEnd: an attempt may end after its server
// was removed from the table and from the fleet. Its answer must not create a back
// end again.
func TestAnswerOfAForgottenServerMakesNoBackEnd(t *testing.T) {
	routerFleet := New(Options{Health: health.DefaultSettings()})
	gone := &state.Server{ID: "gone"}
	routerFleet.Answered(gone, time.Second)
	if routerFleet.AnsweredSince(gone, 0) {
		t.Error("AnsweredSince reports an answer of an unknown server")
	}
	if count := len(routerFleet.backEnds); count != 0 {
		t.Errorf("the fleet holds %d back ends, want none", count)
	}
}

package fleet

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestAnswerOfAForgottenServerMakesNoBackEnd: an attempt may end after its server
// left the table and was dropped.
func TestAnswerOfAForgottenServerMakesNoBackEnd(t *testing.T) {
	servers := New(Options{Health: health.DefaultSettings()})
	gone := &state.Server{ID: "gone"}
	servers.Answered(gone, time.Second)
	if servers.AnsweredSince(gone, 0) {
		t.Error("an unknown server answered")
	}
	if known := len(servers.servers); known != 0 {
		t.Errorf("%d back ends are held, want none", known)
	}
}

package directoryapi

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
)

// TestAnswerSize: the most rows that package heartbeat grants, some of them new with a
// handover, fit an answer of 4 KiB, beyond which an instance takes none.
func TestAnswerSize(t *testing.T) {
	const rows, fresh, most = 165, 12, 4096
	grant := grantOf(rows, fresh, 99)
	answer, leftOut := AnswerOf(grant, "255.255.255.255:65535")
	encoded, err := json.Marshal(answer)
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > most || leftOut != 0 {
		t.Errorf("%d rows take %d bytes with %d left out, want %d at most", rows, len(encoded), leftOut, most)
	}
}

// grantOf returns a grant of rows, the first of which have a handover.
func grantOf(rows, handovers int, fence directory.Fence) heartbeat.Grant {
	grant := heartbeat.Grant{Renewed: true, Lease: 4 * time.Second}
	for row := range rows {
		holding := directory.Holding{First: directory.Key(60000 + row), Last: directory.MaxKey, Fence: fence}
		if row < handovers {
			holding.Handover = "5c0e7a21d94b36f8"
		}
		grant.Holdings = append(grant.Holdings, holding)
	}
	return grant
}

// TestAnswerIsCutToSize: an instance that is granted more than an answer holds gets one
// that it takes: without the last handovers, and only then without the last rows.
func TestAnswerIsCutToSize(t *testing.T) {
	for _, c := range []struct{ rows, handovers, leftOut int }{{160, 80, 0}, {250, 250, 30}} {
		grant := grantOf(c.rows, c.handovers, 9)
		answer, leftOut := AnswerOf(grant, "255.255.255.255:65535")
		encoded, err := json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > MaxAnswerBytes || len(encoded) < MaxAnswerBytes-100 {
			t.Errorf("%d rows with %d handovers take %d bytes", c.rows, c.handovers, len(encoded))
		}
		if leftOut < c.leftOut || leftOut > c.leftOut+20 {
			t.Errorf("%d rows were left out of %d", leftOut, c.rows)
		}
		if grant.Holdings[0].Handover == "" {
			t.Error("the grant itself was changed")
		}
	}
}

// TestHeartbeatIsRead: rows as the platform writes them, and what is refused.
func TestHeartbeatIsRead(t *testing.T) {
	var body Heartbeat
	text := `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":2,"state":"draining","sequence":4,"warm_up_left_ms":1500,
		"holdings":[[0,4095,7]],"released":[[4096,8191,"token"]]}`
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		t.Fatal(err)
	}
	beat, err := body.Beat("i")
	if err != nil || !beat.Draining || beat.WarmUp != 1500*time.Millisecond || beat.Held[0].Fence != 7 || beat.Released[0].Handover != "token" {
		t.Errorf("read %+v, %v", beat, err)
	}
	for _, wrong := range []Heartbeat{
		{Address: "a", State: StateReady}, {Service: "s", State: StateReady}, {Service: "s", Address: "a", State: "tired"},
	} {
		if _, err := wrong.Beat("i"); err == nil {
			t.Errorf("%+v is taken", wrong)
		}
	}
	if err := json.Unmarshal([]byte(`{"holdings":[[0,4095]]}`), &body); err == nil {
		t.Error("a row of two cells is taken")
	}
}

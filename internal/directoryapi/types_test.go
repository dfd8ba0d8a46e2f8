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
	grant := heartbeat.Grant{Renewed: true, Lease: 4 * time.Second}
	for row := range rows {
		holding := directory.Holding{First: directory.Key(60000 + row), Last: directory.MaxKey, Fence: 99}
		if row < fresh {
			holding.Handover = "5c0e7a21d94b36f8"
		}
		grant.Holdings = append(grant.Holdings, holding)
	}
	encoded, err := json.Marshal(AnswerOf(grant, "255.255.255.255:65535"))
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > most {
		t.Errorf("%d rows take %d bytes, want %d at most", rows, len(encoded), most)
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

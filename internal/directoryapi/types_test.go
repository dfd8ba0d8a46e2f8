package directoryapi

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
)

// TestAnswerSize checks that the largest number of rows that package heartbeat grants, some of them
// new and with a handover, fits into an answer of 4 KiB; instances reject larger answers.
func TestAnswerSize(t *testing.T) {
	const rows, handovers, maxBytes = 165, 12, 4096
	grant := grantOf(rows, handovers, 99)
	answer, leftOut := AnswerOf(grant, "255.255.255.255:65535")
	encoded, err := json.Marshal(answer)
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > maxBytes || leftOut != 0 {
		t.Errorf("%d rows take %d bytes with %d left out, want %d at most", rows, len(encoded), leftOut, maxBytes)
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

// TestAnswerIsCutToSize checks that an instance that is granted more than an answer holds gets an
// answer that it accepts: without the last handovers, and without the last rows only if that is not
// enough.
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

// TestHeartbeatIsRead checks that rows in the platform's format are decoded and that invalid
// heartbeats are rejected.
func TestHeartbeatIsRead(t *testing.T) {
	var body Heartbeat
	text := `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":2,"state":"draining","sequence":4,"warm_up_left_ms":1500,
		"holdings":[[0,4095,7]],"released":[[4096,8191,"token"]]}`
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		t.Fatal(err)
	}
	beat, err := body.Beat("i")
	if err != nil || !beat.Draining || beat.WarmUp != 1500*time.Millisecond || beat.Held[0].Fence != 7 || beat.Released[0].Handover != "token" {
		t.Errorf("decoded %+v, %v", beat, err)
	}
	for _, wrong := range []Heartbeat{
		{Address: "a", State: StateReady}, {Service: "s", State: StateReady}, {Service: "s", Address: "a", State: "tired"},
	} {
		if _, err := wrong.Beat("i"); err == nil {
			t.Errorf("%+v is accepted", wrong)
		}
	}
	if err := json.Unmarshal([]byte(`{"holdings":[[0,4095]]}`), &body); err == nil {
		t.Error("a row of two cells is accepted")
	}
}

// readBeat decodes and validates a heartbeat as the controllers do.
func readBeat(server string, body []byte) (heartbeat.Beat, error) {
	var read Heartbeat
	if err := json.Unmarshal(body, &read); err != nil {
		return heartbeat.Beat{}, err
	}
	return read.Beat(server)
}

const validHeartbeat = `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","warm_up_left_ms":0,"sequence":4,"born":1796000000000}`

// TestHeartbeatsOfOtherWriters checks that a heartbeat with missing fields, fields of a wrong type,
// an unknown state or undecodable bytes is rejected.
func TestHeartbeatsOfOtherWriters(t *testing.T) {
	beat, err := readBeat("i-1", []byte(validHeartbeat))
	if err != nil || beat.Instance != "i-1@1796000000000" {
		t.Fatalf("%+v, %v", beat, err)
	}
	replaced := func(old, replacement string) string { return strings.Replace(validHeartbeat, old, replacement, 1) }
	for _, body := range []string{
		"", "{", "null", "[]", "7", "\x00\xff", validHeartbeat[:40],
		replaced(`"service":"s",`, ""), replaced(`"s"`, "7"), replaced(`"s"`, "null"), replaced(`"address":"10.0.0.1:80",`, ""),
		replaced("10.0.0.1:80", "10.0.0.1"), replaced("10.0.0.1:80", "name:80"), replaced("10.0.0.1:80", "10.0.0.1:0"),
		replaced(`"zone":"z",`, ""), replaced(`"slots":4`, `"slots":"4"`), replaced(`"slots":4`, `"slots":-4`), replaced(`"slots":4,`, ""),
		replaced(`"slots":4`, `"slots":1.5`), replaced(`"ready"`, `"leaving"`), replaced(`"ready"`, "true"), replaced(`"state":"ready",`, ""),
		replaced(`"sequence":4`, `"sequence":"4"`), replaced(`"sequence":4`, `"sequence":-4`), replaced(`"sequence":4,`, ""),
		replaced("1796000000000", "-1"), replaced("1796000000000", "0"), replaced("1796000000000", "1.5"), replaced("1796000000000", `"x"`),
		replaced("1796000000000", "null"), replaced("1796000000000", "true"), replaced("1796000000000", "1e30"), replaced("1796000000000", "99999999999999999999"),
		replaced(`"sequence"`, `"holdings":[[1,2]],"sequence"`), replaced(`"sequence"`, `"holdings":{"a":1},"sequence"`),
		replaced(`"sequence"`, `"holdings":[[1,"2",3]],"sequence"`), replaced(`"sequence"`, `"released":[[1,2,3]],"sequence"`),
	} {
		if beat, err := readBeat("i-1", []byte(body)); err == nil {
			t.Errorf("%s is accepted as %+v", body, beat)
		}
	}
	for _, server := range []string{"", "i-1@5"} {
		if _, err := readBeat(server, []byte(validHeartbeat)); err == nil {
			t.Errorf("server %q is accepted", server)
		}
	}
}

// TestLeaveTellsItsLife checks that the body may be empty or have a start time, and that an invalid
// body is rejected, so that no server is removed by it.
func TestLeaveTellsItsLife(t *testing.T) {
	for body, want := range map[string]StartTime{"": 0, "{}": 0, `{"born":17}`: 17} {
		if got, err := ReadLeave([]byte(body)); err != nil || got.Born != want {
			t.Errorf("%q: %+v, %v", body, got, err)
		}
	}
	for _, body := range []string{"{", "7", `{"born":-1}`, `{"born":"x"}`, `{"born":1.5}`} {
		if got, err := ReadLeave([]byte(body)); err == nil {
			t.Errorf("%q is accepted as %+v", body, got)
		}
	}
}

// FuzzHeartbeat checks that any input either is rejected or yields a valid heartbeat of the server.
func FuzzHeartbeat(f *testing.F) {
	f.Add("i-1", []byte(validHeartbeat))
	f.Add("i-1", []byte(`{"service":"s","address":"[::1]:80","zone":"z","slots":1,"state":"draining","sequence":1,"holdings":[[0,4095,7]],"released":[[4096,8191,"5c0e"]]}`))
	f.Fuzz(func(t *testing.T, server string, body []byte) {
		beat, err := readBeat(server, body)
		if err != nil {
			return
		}
		if beat.Service == "" || beat.Zone == "" || beat.Slots < 1 || beat.Sequence == 0 || beat.WarmUp < 0 || beat.WarmUp > time.Minute {
			t.Errorf("%s is accepted as %+v", body, beat)
		}
		if got := beat.Instance.Server(); got != server {
			t.Errorf("server %q is decoded as %q", server, got)
		}
	})
}

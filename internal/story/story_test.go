package story

import (
	"bytes"
	"strings"
	"testing"
)

const lines = `12.1 core-1 {"ts":"2026-01-01T00:00:01Z","event":"directory_changed","name":"c1","index":7,"service":"s","msg":"layout of keys changed","holdings":[{"first":0,"last":9,"owner":"i1","revoked":true}]}
12.1 core-2 {"ts":"2026-01-01T00:00:01.001Z","event":"directory_changed","name":"c2","index":7,"service":"s","msg":"layout of keys changed","holdings":[{"first":0,"last":9,"owner":"i1","revoked":true}]}
{"ts":"2026-01-01T00:00:01.1Z","event":"directory_changed","name":"c1","index":8,"service":"s","msg":"layout of keys changed","holdings":[{"first":10,"last":99,"owner":"i2"}]}
{"ts":"2026-01-01T00:00:01.2Z","event":"server_ejected","name":"g1","server":"i1","msg":"ejected"}
{"ts":"2026-01-01T00:00:01.2Z","event":"server_ejected","name":"g1","server":"i3","msg":"ejected"}
not a log line
{"ts":"2026-01-01T00:00:01.5Z","event":"request_ended","name":"g1","request_id":"r1","service":"s","key":5,"attempts":[{"instance":"i1","kind":"wrong_epoch"}],"kind":"no_owner","msg":"request failed"}
{"ts":"2026-01-01T00:00:01.5Z","event":"request_ended","name":"g1","request_id":"r2","service":"s","key":50,"msg":"request failed"}
{"ts":"2026-01-01T00:00:00.5Z","event":"leader_elected","name":"c1","msg":"this replica leads"}
{"ts":"2026-01-01T00:01:00Z","event":"leader_elected","name":"c2","msg":"this replica leads"}
`

// TestStoryOfARequest checks that the timeline has the request's own lines and those about its instances
// and the owner of its key at that time, in order and without duplicates from several replicas.
func TestStoryOfARequest(t *testing.T) {
	read, err := Read(strings.NewReader(lines))
	if err != nil {
		t.Fatal(err)
	}
	chosen, err := Of("r1", read)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Write(&out, chosen); err != nil {
		t.Fatal(err)
	}
	want := []string{"c1 leader_elected", "c1 directory_changed", "g1 server_ejected", "g1 request_ended"}
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != len(want) {
		t.Fatalf("%d lines:\n%s", len(got), out.String())
	}
	for index, line := range got {
		if !strings.Contains(line, want[index]) {
			t.Errorf("line %d is %q, want %q", index, line, want[index])
		}
	}
	if _, err := Of("r9", read); err == nil {
		t.Error("a request without lines gives no error")
	}
}

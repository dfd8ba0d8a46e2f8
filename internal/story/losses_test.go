package story

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestLossesAreCounted checks that losses are grouped by service, error kind, attempts and time span,
// and that answered requests and other events are not counted.
func TestLossesAreCounted(t *testing.T) {
	log := `
0.1 gateway-1 {"ts":"2026-01-01T00:00:01.1Z","name":"g","event":"request_ended","service":"s","kind":"queue_full","attempts":null}
0.2 gateway-1 {"ts":"2026-01-01T00:00:01.4Z","name":"g","event":"request_ended","service":"s","kind":"queue_full","attempts":null}
0.3 gateway-2 {"ts":"2026-01-01T00:00:01.9Z","name":"h","event":"request_ended","service":"s","kind":"connection_lost","attempts":[{"instance":"a","kind":"wrong_epoch"},{"instance":"b","kind":"connection_lost"}]}
0.4 gateway-2 {"ts":"2026-01-01T00:00:02.0Z","name":"h","event":"request_ended","service":"s","attempts":[{"instance":"a","kind":"wrong_epoch"},{"instance":"b"}]}
0.5 gateway-2 {"ts":"2026-01-01T00:00:05.0Z","name":"h","event":"request_ended","service":"s","kind":"queue_full","attempts":null}
0.6 gateway-2 {"ts":"2026-01-01T00:00:05.0Z","name":"h","event":"started"}
`
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	losses := Losses(lines, Grouping{Span: 2 * time.Second})
	if len(losses) != 3 {
		t.Fatalf("losses %+v", losses)
	}
	if first := losses[0]; first.Requests != 2 || first.Kind != "queue_full" || first.Attempts != "" {
		t.Errorf("most frequent: %+v", first)
	}
	if second := losses[1]; second.Requests != 1 || second.Attempts != "wrong_epoch,connection_lost" {
		t.Errorf("second: %+v", second)
	}
	var table bytes.Buffer
	if err := WriteLosses(&table, losses, 1); err != nil {
		t.Fatal(err)
	}
	if text := table.String(); strings.Count(text, "\n") != 2 || !strings.Contains(text, "queue_full") || !strings.Contains(text, "none") {
		t.Errorf("table:\n%s", text)
	}
}

// TestLossesOfTenantsStandApart checks that losses are grouped by tenant only with ByTenant.
func TestLossesOfTenantsStandApart(t *testing.T) {
	log := `
0.1 g {"ts":"2026-01-01T00:00:01.1Z","name":"g","event":"request_ended","service":"s","tenant":"a","kind":"quota_exceeded"}
0.2 g {"ts":"2026-01-01T00:00:01.2Z","name":"g","event":"request_ended","service":"s","tenant":"a","kind":"quota_exceeded"}
0.3 g {"ts":"2026-01-01T00:00:01.3Z","name":"g","event":"request_ended","service":"s","tenant":"b","kind":"quota_exceeded"}
0.4 g {"ts":"2026-01-01T00:00:01.4Z","name":"g","event":"request_ended","service":"s","kind":"quota_exceeded"}
`
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if together := Losses(lines, Grouping{Span: 2 * time.Second}); len(together) != 1 || together[0].Requests != 4 || together[0].Tenant != "" {
		t.Errorf("together: %+v", together)
	}
	apart := Losses(lines, Grouping{Span: 2 * time.Second, ByTenant: true})
	if len(apart) != 3 || apart[0].Tenant != "a" || apart[0].Requests != 2 {
		t.Fatalf("apart: %+v", apart)
	}
	var table bytes.Buffer
	if err := WriteLosses(&table, apart, 3); err != nil {
		t.Fatal(err)
	}
	if rows := strings.Split(table.String(), "\n"); !strings.Contains(rows[1], " a ") || !strings.Contains(rows[2], " - ") || !strings.Contains(rows[3], " b ") {
		t.Errorf("table:\n%s", table.String())
	}
}

package state

import "testing"

// TestCloseSessions checks that the sessions of one command are handled independently:
// one that was closed or reopened in the meantime is not closed and does not prevent
// the others from being closed.
func TestCloseSessions(t *testing.T) {
	reopened := []Command{
		{CloseSession: &CloseSession{Server: "a", Session: 1}},
		{OpenSession: &OpenSession{Server: "a", Incarnation: "later", After: 1}},
	}
	cases := []struct {
		name   string
		before []Command
		closed []CloseSession
		open   map[ServerID]bool
	}{
		{"both", nil, []CloseSession{{"a", 1}, {"b", 1}}, map[ServerID]bool{}},
		{"one is closed already", reopened[:1], []CloseSession{{"a", 1}, {"b", 1}}, map[ServerID]bool{}},
		{"one was opened anew", reopened, []CloseSession{{"a", 1}, {"b", 1}}, map[ServerID]bool{"a": true}},
		{"one is unknown", nil, []CloseSession{{"x", 1}, {"b", 1}}, map[ServerID]bool{"a": true}},
		{"one is named twice", nil, []CloseSession{{"b", 1}, {"b", 1}}, map[ServerID]bool{"a": true}},
	}
	for _, tried := range cases {
		t.Run(tried.name, func(t *testing.T) {
			m := withService(t, 4)
			for _, command := range tried.before {
				m.apply(command)
			}
			for _, id := range []ServerID{"a", "b"} {
				m.assign(1, id) // the first of the two servers with an open session gets it
				m.assign(2, "b")
			}
			encoded, err := Command{CloseSessions: &CloseSessions{Sessions: tried.closed}}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeCommand(encoded)
			if err != nil {
				t.Fatal(err)
			}
			m.apply(decoded)
			for _, server := range m.state.Servers() {
				if server.Session.Open != tried.open[server.ID] {
					t.Errorf("session of %s: open is %t", server.ID, server.Session.Open)
				}
			}
			for _, shard := range m.state.ShardsOf("s") {
				if owned := shard.Owner != ""; owned && !tried.open[shard.Owner] || owned != (shard.Phase == ShardOwned) {
					t.Errorf("shard %d is %s, owner %q", shard.ID, shard.Phase, shard.Owner)
				}
			}
			if owned := m.state.OwnedCount("a"); tried.open["a"] && owned != 1 {
				t.Errorf("the open server owns %d shards, want 1", owned)
			}
		})
	}
}

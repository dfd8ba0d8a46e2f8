package state

import "testing"

// TestOpenSessions checks that the sessions of one command are handled independently:
// one that was opened in the meantime is not reopened and does not prevent the others
// from being opened.
func TestOpenSessions(t *testing.T) {
	m := withService(t, 4)
	m.confirm("retire", Operation{PutServer: &Server{ID: "c", Service: "s", Intent: ServerRetired}},
		Operation{PutServer: &Server{ID: "d", Service: "s", Intent: ServerActive}})
	m.apply(Command{CloseSession: &CloseSession{Server: "a", Session: 1}})
	encoded, err := Command{OpenSessions: &OpenSessions{Sessions: []OpenSession{
		{Server: "b", Incarnation: "late", After: 1}, {Server: "c", Incarnation: "retired"}, {Server: "x", Incarnation: "unknown"},
		{Server: "a", Incarnation: "again", After: 1}, {Server: "a", Incarnation: "twice", After: 1},
		{Server: "d", Incarnation: "stale", After: 3}, {Server: "d", Incarnation: "first"},
	}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeCommand(encoded)
	if err != nil {
		t.Fatal(err)
	}
	m.apply(decoded)
	expected := map[ServerID]Session{
		"a": {Number: 2, Incarnation: "again", Open: true}, "b": {Number: 1, Incarnation: "i-b", Open: true},
		"c": {}, "d": {Number: 1, Incarnation: "first", Open: true},
	}
	for _, server := range m.state.Servers() {
		if server.Session != expected[server.ID] {
			t.Errorf("session of %s: %+v, want %+v", server.ID, server.Session, expected[server.ID])
		}
	}
}

package gateway

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// routesPatch is a patch with a service and the named routes.
func routesPatch(version string, names ...string) string {
	body := `{"set":{"services":[{"name":"s","version":1}],"routes":[`
	for index, name := range names {
		if index > 0 {
			body += ","
		}
		body += `{"name":"` + name + `","host":"a.example","prefix":"/` + name + `/","kind":"repeatable","service":"s","max_attempts":1,"version":` + version + `}`
	}
	return body + `]}}`
}

func applyPatch(t *testing.T, view *directory.Directory, body string) {
	t.Helper()
	patch, err := directory.ReadPatch([]byte(body))
	if err == nil {
		err = view.Apply(view.Revision()+1, directory.Command{Patch: &patch})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestChangedRoutesAreLogged checks that the log tells when a version of a route came into force, from whom, and
// how old the proof of the table was.
func TestChangedRoutesAreLogged(t *testing.T) {
	machine := &manualClock{}
	var lines bytes.Buffer
	s := newSubscription(machine, config.DefaultGateway(), telemetry.New(role, "g", "info", &lines), nil, &link.Meter{})
	view := directory.New()
	update := func(held directory.Revision) {
		changes := view.RoutingSince(held)
		if err := s.apply(message.DirectoryUpdate{Cluster: "c", Changes: &changes}, source{address: "controller"}); err != nil {
			t.Fatal(err)
		}
	}
	applyPatch(t, view, routesPatch("1", "kept", "moved", "dropped"))
	update(0)
	proved := machine.Now()
	s.confirm(proved, source{})
	machine.suspend(time.Second)
	lines.Reset()
	applyPatch(t, view, routesPatch("7", "moved", "added"))
	applyPatch(t, view, `{"remove":{"routes":[{"name":"dropped","version":8}]}}`)
	update(1)
	var line struct {
		Event    string
		Revision int
		Routes   []struct {
			Name    string
			Version int
		}
		TableAgeMs int `json:"table_age_ms"`
		Address    string
	}
	if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, lines.String())
	}
	versions := make(map[string]int)
	for _, route := range line.Routes {
		versions[route.Name] = route.Version
	}
	if line.Event != string(telemetry.EventItemsInForce) || line.Revision != 3 || line.TableAgeMs != 1000 || line.Address != "controller" ||
		len(versions) != 3 || versions["moved"] != 7 || versions["added"] != 7 || versions["dropped"] != 0 {
		t.Errorf("logged %s", lines.String())
	}
}

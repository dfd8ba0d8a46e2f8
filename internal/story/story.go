// Package story builds the timeline of one request from the log lines of several processes: the lines
// with the request's ID, and lines from about the same time on changes to the instances that it was
// sent to, to the owners of its key and to the contact with the controllers. It also counts failed requests.
package story

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Lines about instances and keys are included from windowBefore the first line of a request to
// windowAfter its last line.
const (
	windowBefore = 6 * time.Second
	windowAfter  = 2 * time.Second
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 4 << 20

// Line is one log line.
type Line struct {
	At      time.Time
	Process string
	Event   telemetry.Event
	Message string
	// Fields are the other fields of the line.
	Fields map[string]json.RawMessage
	text   string
}

// Read parses the log lines of a stream. It ignores any prefix before the JSON object, such as one added
// by a log collector, and skips lines that are not valid log lines.
func Read(stream io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, found := parse(scanner.Text()); found {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read log lines")
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{text: text[start:]}
	if json.Unmarshal([]byte(line.text), &line.Fields) != nil {
		return Line{}, false
	}
	var at string
	line.extract(telemetry.FieldTime, &at)
	line.extract(telemetry.FieldName, &line.Process)
	line.extract(telemetry.FieldEvent, &line.Event)
	line.extract(telemetry.FieldMessage, &line.Message)
	delete(line.Fields, telemetry.FieldLevel)
	delete(line.Fields, telemetry.FieldRole)
	parsed, err := time.Parse(time.RFC3339Nano, at)
	line.At = parsed
	return line, err == nil
}

// extract decodes a field into target and removes it from Fields; a field that cannot be decoded stays.
func (l *Line) extract(name string, target any) {
	if json.Unmarshal(l.Fields[name], target) == nil {
		delete(l.Fields, name)
	}
}

// requestScope is the time range, the service, the key and the instances named in the log lines of a request.
type requestScope struct {
	first, last time.Time
	service     string
	key         *int
	instances   map[string]bool
}

// Of returns the log lines related to a request, sorted by timestamp. The order is approximate because the
// clocks of the processes may differ slightly. It returns an error if no line has the request's ID.
func Of(id string, lines []Line) ([]Line, error) {
	scope, found := scopeOf(id, lines)
	if !found {
		return nil, eris.Errorf("no line has %s %q: a request that an instance answered at once leaves none", telemetry.FieldRequest, id)
	}
	var selected []Line
	for _, line := range lines {
		if line.text != "" && (line.hasRequestID(id) || scope.concerns(line)) {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process)) })
	return deduplicate(selected), nil
}

// deduplicate removes lines that several replicas logged for the same log index with equal event and fields.
func deduplicate(lines []Line) []Line {
	seen := make(map[string]bool)
	return slices.DeleteFunc(lines, func(line Line) bool {
		index := string(line.Fields[telemetry.FieldIndex])
		if index == "" {
			return false
		}
		key := index + string(line.Event) + line.fieldsText()
		repeated := seen[key]
		seen[key] = true
		return repeated
	})
}

func (l Line) hasRequestID(id string) bool {
	var named string
	return json.Unmarshal(l.Fields[telemetry.FieldRequest], &named) == nil && named == id
}

func scopeOf(id string, lines []Line) (requestScope, bool) {
	scope := requestScope{instances: make(map[string]bool)}
	found := false
	for _, line := range lines {
		if !line.hasRequestID(id) {
			continue
		}
		if !found || line.At.Before(scope.first) {
			scope.first = line.At
		}
		if line.At.After(scope.last) {
			scope.last = line.At
		}
		found = true
		scope.addLine(line)
	}
	return scope, found
}

func (s *requestScope) addLine(line Line) {
	var attempts []struct {
		Instance string `json:"instance"`
	}
	_ = json.Unmarshal(line.Fields["attempts"], &attempts) // only request_ended lines have attempts
	for _, attempt := range attempts {
		s.instances[attempt.Instance] = true
	}
	_ = json.Unmarshal(line.Fields[telemetry.FieldService], &s.service)
	var key int
	if json.Unmarshal(line.Fields["key"], &key) == nil {
		s.key = &key
	}
}

// concerns reports whether a line, logged at about the time of the request, is about its instances, the
// owners of its key, the controllers' leader or a lost connection to the controllers.
func (s requestScope) concerns(line Line) bool {
	if line.At.Before(s.first.Add(-windowBefore)) || line.At.After(s.last.Add(windowAfter)) {
		return false
	}
	switch line.Event {
	case telemetry.EventLeaderElected, telemetry.EventLeaderLost, telemetry.EventControllerLost:
		return true
	case telemetry.EventDirectoryChanged, telemetry.EventServerEjected, telemetry.EventCallRefused:
	default:
		return false
	}
	var instance string
	if json.Unmarshal(line.Fields[telemetry.FieldServer], &instance) == nil && s.instances[instance] {
		return true
	}
	return s.coversKey(line)
}

// coversKey reports whether a line lists a holding (a range of keys) that includes the request's key.
func (s requestScope) coversKey(line Line) bool {
	var service string
	var holdings []struct {
		First int `json:"first"`
		Last  int `json:"last"`
	}
	if s.key == nil || json.Unmarshal(line.Fields[telemetry.FieldService], &service) != nil || service != s.service {
		return false
	}
	if json.Unmarshal(line.Fields["holdings"], &holdings) != nil {
		return false
	}
	for _, holding := range holdings {
		if holding.First <= *s.key && *s.key <= holding.Last {
			return true
		}
	}
	return false
}

func (l Line) fieldsText() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%s", name, l.Fields[name])
	}
	return text.String()
}

// Write prints the lines in a human-readable format.
func Write(out io.Writer, lines []Line) error {
	for _, line := range lines {
		_, err := fmt.Fprintf(out, "%s %s %s: %s%s\n", line.At.Format("15:04:05.000"), line.Process, line.Event, line.Message, line.fieldsText())
		if err != nil {
			return eris.Wrap(err, "write the request timeline")
		}
	}
	return nil
}

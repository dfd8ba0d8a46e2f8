// Package story puts the log lines of several processes that concern one request in
// order: its own lines, and what changed about the instances that it was sent to and
// the holders of its key shortly before.
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

// before and after bound which lines about instances and keys belong to a request.
const (
	before = 6 * time.Second
	after  = 2 * time.Second
)

// maxLineBytes bounds a log line.
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

// Read reads the log lines of a stream. What stands before the JSON of a line, as a
// collector may put there, is passed over, and so are lines without JSON.
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
	line.take(telemetry.FieldTime, &at)
	line.take(telemetry.FieldName, &line.Process)
	line.take(telemetry.FieldEvent, &line.Event)
	line.take(telemetry.FieldMessage, &line.Message)
	delete(line.Fields, telemetry.FieldLevel)
	delete(line.Fields, telemetry.FieldRole)
	parsed, err := time.Parse(time.RFC3339Nano, at)
	line.At = parsed
	return line, err == nil
}

// take moves a field out of Fields, if it can be read.
func (l *Line) take(name string, target any) {
	if json.Unmarshal(l.Fields[name], target) == nil {
		delete(l.Fields, name)
	}
}

// subject is what the lines about a request name.
type subject struct {
	first, last time.Time
	service     string
	key         *int
	instances   map[string]bool
}

// Of returns the lines that belong to a request, in the order of their times. The
// clocks of the processes may differ a little. The error says that no line names it.
func Of(id string, lines []Line) ([]Line, error) {
	about, found := subjectOf(id, lines)
	if !found {
		return nil, eris.Errorf("no line has %s %q: a request that an instance answered at once leaves none", telemetry.FieldRequest, id)
	}
	var chosen []Line
	for _, line := range lines {
		if line.text != "" && (line.names(id) || about.concerns(line)) {
			chosen = append(chosen, line)
		}
	}
	slices.SortStableFunc(chosen, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process)) })
	return compact(chosen), nil
}

// compact leaves out what several replicas tell alike of one log index.
func compact(lines []Line) []Line {
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

func (l Line) names(id string) bool {
	var named string
	return json.Unmarshal(l.Fields[telemetry.FieldRequest], &named) == nil && named == id
}

func subjectOf(id string, lines []Line) (subject, bool) {
	about := subject{instances: make(map[string]bool)}
	found := false
	for _, line := range lines {
		if !line.names(id) {
			continue
		}
		if !found || line.At.Before(about.first) {
			about.first = line.At
		}
		if line.At.After(about.last) {
			about.last = line.At
		}
		found = true
		about.learn(line)
	}
	return about, found
}

func (s *subject) learn(line Line) {
	var attempts []struct {
		Instance string `json:"instance"`
	}
	_ = json.Unmarshal(line.Fields["attempts"], &attempts) // other lines have none
	for _, attempt := range attempts {
		s.instances[attempt.Instance] = true
	}
	_ = json.Unmarshal(line.Fields[telemetry.FieldService], &s.service)
	var key int
	if json.Unmarshal(line.Fields["key"], &key) == nil {
		s.key = &key
	}
}

// concerns reports whether a line tells of the instances, the holders of the key, or
// the process's contact with the controllers, at about the time of the request.
func (s subject) concerns(line Line) bool {
	if line.At.Before(s.first.Add(-before)) || line.At.After(s.last.Add(after)) {
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
	return s.holds(line)
}

// holds reports whether a line tells of a holding with the request's key.
func (s subject) holds(line Line) bool {
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

// Write prints lines for people.
func Write(out io.Writer, lines []Line) error {
	for _, line := range lines {
		_, err := fmt.Fprintf(out, "%s %s %s: %s%s\n", line.At.Format("15:04:05.000"), line.Process, line.Event, line.Message, line.fieldsText())
		if err != nil {
			return eris.Wrap(err, "write the story")
		}
	}
	return nil
}

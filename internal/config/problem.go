package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Problem is one fault of a settings file or flag.
type Problem struct {
	// File is the settings file, or the flag that gave the value.
	File string `json:"file"`
	// Line in File, from 1; zero for a flag or a file that cannot be read.
	Line int `json:"line"`
	// Field is the dotted path of the field, such as lease.duration.
	Field string `json:"field"`
	// Value is what was found there; empty when the field is missing.
	Value   string `json:"value"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// final is true if nothing that may still be written behind the value solves the problem.
	final bool
}

// String returns the problem on one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	subject := p.subject()
	if subject == "" {
		return fmt.Sprintf("%s: %s; %s", place, p.Message, p.Remedy)
	}
	return fmt.Sprintf("%s: %s: %s; %s", place, subject, p.Message, p.Remedy)
}

// subject names the field and the value, as far as they are known. A syntax
// error has a value and no field.
func (p Problem) subject() string {
	switch {
	case p.Value == "":
		return p.Field
	case p.Field == "":
		return fmt.Sprintf("%q", p.Value)
	default:
		return fmt.Sprintf("%s = %q", p.Field, p.Value)
	}
}

// Problems is every fault that was found. As an error its kind is
// fault.InvalidArgument.
type Problems []Problem

// Error returns one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Final reports whether a problem stays whatever is written behind the part of the file that was read, so that it need
// not be read again.
func (p Problems) Final() bool {
	return slices.ContainsFunc(p, func(problem Problem) bool { return problem.final })
}

// Unwrap gives the problems a kind of the closed list.
func (p Problems) Unwrap() error {
	return fault.New(fault.InvalidArgument, "the settings have problems")
}

// report collects problems with the places that a settings file gave.
type report struct {
	file     string
	lines    map[string]int
	flags    map[string]string
	problems Problems
	// endedLines is the number of lines that end with a line break, and lastField the line of the last top-level field.
	endedLines int
	lastField  int
}

func newReport(file string) *report {
	return &report{file: file, lines: map[string]int{}, flags: map[string]string{}}
}

// add records a problem unless the field already has one: the first is the
// cause, later ones are its consequences.
func (r *report) add(field, value, message, remedy string) {
	if r.has(field) {
		return
	}
	problem := Problem{File: r.file, Line: r.line(field), Field: field, Value: value, Message: message, Remedy: remedy}
	if flag, found := r.flags[field]; found {
		problem.File = flag
		problem.Line = 0
	}
	r.problems = append(r.problems, problem)
}

// addOwn records a problem of what stands at a field itself, which no other field can solve. It is final once another
// top-level field follows and, for a single value, once its line has ended.
func (r *report) addOwn(field, value, message, remedy string, single bool) {
	if r.has(field) {
		return
	}
	r.add(field, value, message, remedy)
	_, overridden := r.flags[field]
	line, found := r.lines[field]
	r.problems[len(r.problems)-1].final = overridden || found && (line < r.lastField || single && line <= r.endedLines)
}

func (r *report) has(field string) bool {
	for _, problem := range r.problems {
		if problem.Field == field {
			return true
		}
	}
	return false
}

// line returns the line of the field or, if it is missing, of the nearest
// enclosing field that is there; the first line if there is none.
func (r *report) line(field string) int {
	for field != "" {
		if line, found := r.lines[field]; found {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}

// sorted returns the problems in the order of their lines.
func (r *report) sorted() Problems {
	sortByLine(r.problems)
	return r.problems
}

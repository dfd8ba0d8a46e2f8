package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"reflect"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/knadh/koanf/v2"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = mebibyte

// Override puts the value of a flag in the place of a top-level field's value.
// For a list the value holds the entries with commas between them.
type Override struct {
	Field string
	// Flag is the flag's name with its dashes, for problem reports.
	Flag  string
	Value string
}

// LoadController reads and checks a controller's settings. The error is
// Problems and holds every problem.
func LoadController(path string, overrides ...Override) (Controller, error) {
	settings := DefaultController()
	report := load(path, &settings, overrides)
	report.controller(settings)
	if len(report.problems) > 0 {
		return Controller{}, report.sorted()
	}
	return settings, nil
}

// LoadRouter reads and checks a router's settings. The error is Problems and
// holds every problem.
func LoadRouter(path string, overrides ...Override) (Router, error) {
	settings := DefaultRouter()
	report := load(path, &settings, overrides)
	report.router(settings)
	if len(report.problems) > 0 {
		return Router{}, report.sorted()
	}
	return settings, nil
}

// DetectRole reads the field role of a settings file. The error is Problems.
func DetectRole(path string) (Role, error) {
	report := newReport(path)
	root := report.parse()
	for _, entry := range entriesOf(root) {
		if entry.Key.GetToken().Value != "role" {
			continue
		}
		report.lines["role"] = entry.Key.GetToken().Position.Line
		role := Role(entry.Value.GetToken().Value)
		if role == RoleController || role == RoleRouter || role == RoleGateway {
			return role, nil
		}
		report.add("role", string(role), "is no role", "write role: controller, role: router or role: gateway")
	}
	if len(report.problems) == 0 {
		report.add("role", "", "is missing", "add a line role: controller or role: router")
	}
	return "", report.problems
}

// load fills settings, a pointer to a struct that holds the defaults.
func load(path string, settings any, overrides []Override) *report {
	report := newReport(path)
	fields := Schema(reflect.TypeOf(settings).Elem())
	binder := &binder{report: report}
	root := report.parse()
	if len(report.problems) > 0 {
		return report
	}
	values := binder.group("", fields, root)
	if _, found := report.lines["role"]; !found {
		report.add("role", "", "is missing", "add a line role: controller or role: router")
	}
	binder.overrides(fields, values, overrides)
	if err := decode(values, settings); err != nil {
		report.add("", "", "the settings cannot be decoded: "+err.Error(), "report this as a defect")
	}
	report.validate(settings)
	return report
}

// decode lays the values over the defaults in settings.
func decode(values map[string]any, settings any) error {
	layers := koanf.New(".")
	if err := layers.Load(tree(values), nil); err != nil {
		return err
	}
	return layers.Unmarshal("", settings)
}

// tree implements koanf.Provider for values that are already parsed.
type tree map[string]any

// ReadBytes implements koanf.Provider; it is never called without a parser.
func (tree) ReadBytes() ([]byte, error) {
	return nil, errors.New("config: a parsed tree has no bytes")
}

// Read implements koanf.Provider.
func (t tree) Read() (map[string]any, error) {
	return t, nil
}

// parse reads the file and returns the root of its syntax tree; nil for an
// empty file or after it reported a problem.
func (r *report) parse() ast.Node {
	content, err := readBounded(r.file)
	if err != nil {
		var failed *fs.PathError
		if errors.As(err, &failed) {
			// The problem names the file already.
			err = failed.Err
		}
		r.problems = append(r.problems, Problem{File: r.file, Message: "cannot be read: " + err.Error(), Remedy: "give the path of a readable settings file"})
		return nil
	}
	r.endedLines = bytes.Count(content, []byte("\n"))
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		r.syntax(err)
		return nil
	}
	if len(file.Docs) > 1 {
		r.problems = append(r.problems, Problem{File: r.file, Line: 1, Message: "holds more than one YAML document", Remedy: "keep one document, without a line ---"})
		return nil
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil
	}
	root := file.Docs[0].Body
	if !isMapping(root) && root.Type() != ast.CommentType {
		r.problems = append(r.problems, Problem{File: r.file, Line: root.GetToken().Position.Line, Message: "is no group of fields", Remedy: "write one field a line, such as role: router"})
		return nil
	}
	for _, entry := range entriesOf(root) {
		r.lastField = entry.Key.GetToken().Position.Line
	}
	return root
}

func (r *report) syntax(err error) {
	problem := Problem{File: r.file, Line: 1, Message: "is no valid YAML: " + err.Error(), Remedy: "mend the syntax at this line"}
	var located yaml.Error
	if errors.As(err, &located) {
		problem.Message = "is no valid YAML: " + located.GetMessage()
		if token := located.GetToken(); token != nil {
			problem.Line = token.Position.Line
			problem.Value = token.Value
		}
	}
	r.problems = append(r.problems, problem)
}

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxFileBytes {
		return nil, fmt.Errorf("the file is larger than %d bytes", maxFileBytes)
	}
	return content, nil
}

func sortByLine(problems Problems) {
	sort.SliceStable(problems, func(left, right int) bool {
		return problems[left].Line < problems[right].Line
	})
}

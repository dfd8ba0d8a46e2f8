package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

const goodController = `role: controller
name: a
data_directory: DATA
controllers:
  - name: a
    peer_address: 127.0.0.1:7101
    api_address: 127.0.0.1:7201
lease:
  duration: 700ms
`

const goodRouter = `role: router
name: r
controllers:
  - 127.0.0.1:7101
staleness_limit: 4s
`

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	content = strings.ReplaceAll(content, "DATA", filepath.Join(filepath.Dir(path), "data"))
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadKeepsDefaults(t *testing.T) {
	controller, err := LoadController(write(t, goodController+"  margin: 30ms\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultController().Lease
	want.Margin = 30 * time.Millisecond
	if controller.Lease != want {
		t.Errorf("lease = %+v, want %+v", controller.Lease, want)
	}
	router, err := LoadRouter(write(t, goodRouter))
	if err != nil {
		t.Fatal(err)
	}
	if router.Retry != DefaultRouter().Retry || len(router.Controllers) != 1 {
		t.Errorf("router = %+v", router)
	}
}

func TestOverrides(t *testing.T) {
	path := write(t, "role: router\nname: 5\ncontrollers: [nowhere]\n")
	router, err := LoadRouter(path,
		Override{Field: "name", Flag: "--name", Value: "r2"},
		Override{Field: "controllers", Flag: "--controllers", Value: "127.0.0.1:1,127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	if router.Name != "r2" || len(router.Controllers) != 2 {
		t.Errorf("router = %+v", router)
	}
	_, err = LoadRouter(path, Override{Field: "address", Flag: "--address", Value: "host:1"},
		Override{Field: "name", Flag: "--name", Value: "r2"})
	var problems Problems
	if !errors.As(err, &problems) || problems[0].File != "--address" || problems[0].Line != 0 {
		t.Errorf("problems = %v", err)
	}
}

// problemCase changes a good file and names the one problem that follows.
type problemCase struct {
	name, file, old, new, field, value string
	line                               int
	remedy                             string
}

var problemCases = []problemCase{
	{"unknown field", goodController, "  duration: 700ms", "  duraton: 700ms", "lease.duraton", "", 9, "did you mean duration?"},
	{"far from any name", goodRouter, "name: r", "name: r\nzzzzzzzzzzzzzz: 1", "zzzzzzzzzzzzzz", "", 3, "remove it"},
	{"duration without unit", goodController, "700ms", "700", "lease.duration", "700", 9, "write 700ms"},
	{"no duration", goodController, "700ms", "soon", "lease.duration", "soon", 9, "such as 150ms"},
	{"role of another process", goodController, "role: controller", "role: router", "role", "router", 1, "write role: controller"},
	{"role missing", goodRouter, "role: router\n", "", "role", "", 1, "add a line role"},
	{"text without quotes", goodController, "name: a\nd", "name: 12\nd", "name", "12", 2, "double quotes"},
	{"name not in the group", goodController, "name: a\nd", "name: b\nd", "name", "b", 2, "add an entry with this name"},
	{"bad name", goodRouter, "name: r", "name: r/x", "name", "r/x", 2, "letters, digits"},
	{"empty value", goodRouter, "staleness_limit: 4s", "staleness_limit:", "staleness_limit", "null", 5, "give it a value"},
	{"group without fields", goodController, "lease:\n  duration: 700ms", "lease: 3", "lease", "3", 8, "indented lines"},
	{"list without dashes", goodRouter, "\n  - 127", " 127", "controllers", "127.0.0.1:7101", 3, "after a dash"},
	{"host name", goodRouter, "127.0.0.1:7101", "localhost:7101", "controllers[0]", "localhost:7101", 4, `IP number of "localhost"`},
	{"no port", goodRouter, "127.0.0.1:7101", "127.0.0.1", "controllers[0]", "127.0.0.1", 4, "127.0.0.1:7000"},
	{"port out of range", goodRouter, "127.0.0.1:7101", "127.0.0.1:70000", "controllers[0]", "127.0.0.1:70000", 4, "from 1 to 65535"},
	{"unspecified address", goodRouter, "127.0.0.1:7101", "0.0.0.0:7101", "controllers[0]", "0.0.0.0:7101", 4, "IP number of this machine"},
	{"beyond loopback", goodRouter, "127.0.0.1:7101", "10.1.2.3:7101", "controllers[0]", "10.1.2.3:7101", 4, "allow_non_loopback: true"},
	{"clashing addresses", goodRouter, "name: r", "name: r\naddress: 127.0.0.1:7401", "peer_address", "127.0.0.1:7401", 1, "give each its own"},
	{"twice the same controller", goodRouter, "  - 127.0.0.1:7101\n", "  - 127.0.0.1:7101\n  - 127.0.0.1:7101\n", "controllers[1]", "127.0.0.1:7101", 5, "give each its own"},
	{"no controllers", goodRouter, "controllers:\n  - 127.0.0.1:7101\n", "", "controllers", "", 1, "give it a value"},
	{"even group", goodController, "lease:", "  - {name: b, peer_address: '127.0.0.1:1', api_address: '127.0.0.1:2'}\nlease:", "controllers", "2", 4, "1, 3 or 5"},
	{"same name twice", goodController, "lease:", "  - {name: a, peer_address: '127.0.0.1:1', api_address: '127.0.0.1:2'}\n" +
		"  - {name: c, peer_address: '127.0.0.1:3', api_address: '127.0.0.1:4'}\nlease:", "controllers[1].name", "a", 8, "give each its own"},
	{"own address differs", goodController, "name: a\nd", "name: a\npeer_address: 127.0.0.1:9\nd", "peer_address", "127.0.0.1:9", 3, "use 127.0.0.1:7101"},
	{"election below heartbeat", goodController, "lease:", "consensus: {election_ticks: 4}\nlease:", "consensus.election_ticks", "4", 8, "at least 8"},
	{"lease below three renewals", goodController, "700ms", "400ms", "lease.duration", "400ms", 9, "at least 450ms"},
	{"renewal timeout above lease", goodController, "700ms", "700ms\n  request_timeout: 700ms", "lease.request_timeout", "700ms", 10, "less than 700ms"},
	{"too large", goodController, "700ms", "700ms\n  clock_rate_bound: 0.5", "lease.clock_rate_bound", "0.5", 10, "at most 0.1"},
	{"no whole number", goodController, "700ms", "700ms\n  max_answer_bytes: 1.5", "lease.max_answer_bytes", "1.5", 10, "digits alone"},
	{"no boolean", goodController, "lease:", "allow_non_loopback: 1\nlease:", "allow_non_loopback", "1", 8, "true or false"},
	{"no log level", goodController, "lease:", "log: {level: loud}\nlease:", "log.level", "loud", 8, "debug info"},
	{"folder is a file", goodController, "DATA", "/dev/null/data", "data_directory", "/dev/null/data", 3, "name a folder"},
	{"platform without scheme", goodController, "lease:", "platform: {url: '127.0.0.1:80'}\nlease:", "platform.url", "127.0.0.1:80", 8, "a URL such as"},
	{"staleness below pings", goodRouter, "4s", "400ms", "staleness_limit", "400ms", 5, "at least 450ms"},
	{"backoff the wrong way", goodRouter, "4s", "4s\nretry: {backoff_base: 2s}", "retry.backoff_max", "500ms", 6, "at least 2s"},
	{"field twice", goodRouter, "4s", "4s\nname: r2", "", "name", 6, "mend the syntax"},
	{"broken YAML", goodRouter, "name: r", "name: [r", "", "controllers", 3, "mend the syntax"},
}

func TestEachProblem(t *testing.T) {
	for _, test := range problemCases {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(test.file, test.old) {
				t.Fatalf("the case replaces %q, which is not in the file", test.old)
			}
			path := write(t, strings.Replace(test.file, test.old, test.new, 1))
			err := check(path, test.file)
			var problems Problems
			if !errors.As(err, &problems) || len(problems) != 1 {
				t.Fatalf("want one problem, got: %v", err)
			}
			got := problems[0]
			if got.File != path || got.Line != test.line || got.Field != test.field || got.Value != test.value {
				t.Errorf("got %s, want line %d, field %s, value %q", got, test.line, test.field, test.value)
			}
			if !strings.Contains(got.Remedy, test.remedy) || got.Message == "" {
				t.Errorf("message %q, remedy %q, want %q in it", got.Message, got.Remedy, test.remedy)
			}
			if !fault.Is(err, fault.InvalidArgument) {
				t.Errorf("kind = %s", fault.KindOf(err))
			}
		})
	}
}

func check(path, file string) error {
	if file == goodController {
		_, err := LoadController(path)
		return err
	}
	_, err := LoadRouter(path)
	return err
}

func TestAllProblemsAtOnce(t *testing.T) {
	path := write(t, "role: router\nname: a b\nping_interval: 5\nrecords:\n  lifetime: 1ms\n  oops: 1\n")
	_, err := LoadRouter(path)
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	fields := make([]string, 0, len(problems))
	for _, problem := range problems {
		fields = append(fields, problem.Field)
	}
	want := "controllers name ping_interval records.lifetime records.oops"
	if got := strings.Join(fields, " "); got != want {
		t.Errorf("fields = %s, want %s", got, want)
	}
}

func TestProblemNamesWhatIsKnown(t *testing.T) {
	for _, test := range []struct {
		problem Problem
		want    string
	}{
		{Problem{File: "f", Line: 2, Field: "a.b", Value: "7", Message: "is bad", Remedy: "mend it"}, `f:2: a.b = "7": is bad; mend it`},
		{Problem{File: "f", Line: 2, Field: "a.b", Message: "is missing", Remedy: "add it"}, "f:2: a.b: is missing; add it"},
		{Problem{File: "f", Line: 2, Value: "\t", Message: "is no YAML", Remedy: "mend it"}, `f:2: "\t": is no YAML; mend it`},
		{Problem{File: "f", Message: "cannot be read", Remedy: "look"}, "f: cannot be read; look"},
	} {
		if got := test.problem.String(); got != test.want {
			t.Errorf("got %s, want %s", got, test.want)
		}
	}
}

func TestDetectRole(t *testing.T) {
	role, err := DetectRole(write(t, goodRouter))
	if role != RoleRouter || err != nil {
		t.Errorf("role = %q, %v", role, err)
	}
	for _, content := range []string{"", "name: r\n", "role: king\n", "- 1\n"} {
		if _, err := DetectRole(write(t, content)); err == nil {
			t.Errorf("%q: want an error", content)
		}
	}
	if _, err := DetectRole(filepath.Join(t.TempDir(), "absent")); err == nil {
		t.Error("want an error for an absent file")
	}
}

// TestFinalProblems checks which problems of a file that is being written no later part of it can solve.
func TestFinalProblems(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		final bool
	}{
		"value of a middle line":          {"role: gateway\nstop_timeout: 6\nname: g1\n", true},
		"value too small":                 {"role: gateway\nback_end:\n  answer_memory: 0\nname: g1\n", true},
		"value of the last line":          {"role: gateway\nname: g1\nstop_timeout: 6\n", true},
		"value of a line without end":     {"role: gateway\nname: g1\nstop_timeout: 6", false},
		"no value before another field":   {"role: gateway\nback_end:\nname: g1\n", true},
		"no value at the end":             {"role: gateway\nname: g1\nback_end:\n", false},
		"unknown field in the middle":     {"role: gateway\nnam: g1\nzone: a\n", true},
		"unknown field that may be cut":   {"role: gateway\nzone: a\nnam: ", false},
		"required fields that may follow": {"role: gateway\n", false},
		"syntax":                          {"role: gateway\nname: \"g1\n", false},
		"empty":                           {"", false},
	} {
		path := filepath.Join(t.TempDir(), "gateway.yaml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadGateway(path)
		var problems Problems
		if !errors.As(err, &problems) || problems.Final() != c.final {
			t.Errorf("%s: problems %v, final %t, want %t", name, err, problems.Final(), c.final)
		}
	}
}

package directory_test

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const module = "github.com/thorntiller/thorntiller/"

const versionReason = "the version of the item decides, which is taken from this field when an item is decoded"

// unread are the fields of items that take no effect, with the reason. docs/BACKEND.md tells operators.
var unread = map[string]string{
	"Service.HealthPath":     "gateways learn of the health of instances from answers and heartbeats, and send no health checks",
	"Service.MaxConnections": "each gateway keeps to back_end.max_connections for an instance, however many gateways there are",
	"Service.WarmSeconds":    "keys move with a handover wherever there is one; no decision weighs the time that they are slow without it",
	"Service.Version":        versionReason,
	"Tenant.Version":         versionReason,
	"Limits.Version":         versionReason,
}

// listedPackage is a package as go list describes it.
type listedPackage struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
}

// listPackages lists the packages of the module and those that they import, with their export data.
func listPackages(t *testing.T) map[string]listedPackage {
	t.Helper()
	command := exec.Command("go", "list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles", "./...")
	command.Dir, command.Stderr = "../..", os.Stderr
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]listedPackage)
	for decoder := json.NewDecoder(strings.NewReader(string(output))); ; {
		var each listedPackage
		if err := decoder.Decode(&each); errors.Is(err, io.EOF) {
			return listed
		} else if err != nil {
			t.Fatal(err)
		}
		listed[each.ImportPath] = each
	}
}

// showsItems reports whether a package only checks, passes on or shows items.
func showsItems(path string) bool {
	for _, prefix := range []string{"internal/cli", "internal/lab/", "internal/directoryapi", "internal/platformapi", "platform", "review/"} {
		if strings.HasPrefix(strings.TrimPrefix(path, module), prefix) {
			return true
		}
	}
	return false
}

// TestEachFieldOfAnItemTakesEffect guards against fields that are acknowledged and read by nothing, as the limit of request
// heads was: each field is read outside of its decoding and its checks, or is listed with a reason.
func TestEachFieldOfAnItemTakesEffect(t *testing.T) {
	listed := listPackages(t)
	files := token.NewFileSet()
	imports := importer.ForCompiler(files, "gc", func(path string) (io.ReadCloser, error) { return os.Open(listed[path].Export) })
	read := make(map[string]bool)
	for path, each := range listed {
		if strings.HasPrefix(path, module) && !showsItems(path) {
			addReadFields(t, files, imports, each, read)
		}
	}
	for _, item := range []any{directory.Route{}, directory.Share{}, directory.Service{}, directory.Limits{}, directory.Tenant{}} {
		kind := reflect.TypeOf(item)
		for index := range kind.NumField() {
			field := kind.Name() + "." + kind.Field(index).Name
			_, isListed := unread[field]
			if read[field] == isListed {
				t.Errorf("%s: read by the product: %v, listed as without effect: %v", field, read[field], isListed)
			}
		}
	}
}

// addReadFields adds the fields of items that a package selects.
func addReadFields(t *testing.T, files *token.FileSet, imports types.Importer, of listedPackage, read map[string]bool) {
	t.Helper()
	var parsed []*ast.File
	for _, name := range of.GoFiles {
		file, err := parser.ParseFile(files, filepath.Join(of.Dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		parsed = append(parsed, file)
	}
	found := types.Info{Selections: make(map[*ast.SelectorExpr]*types.Selection)}
	if _, err := (&types.Config{Importer: imports}).Check(of.ImportPath, files, parsed, &found); err != nil {
		t.Fatal(err)
	}
	for expression, selection := range found.Selections {
		if selection.Kind() != types.FieldVal || checksItems(files.Position(expression.Pos()).Filename) {
			continue
		}
		owner := selection.Recv()
		if pointer, isPointer := owner.(*types.Pointer); isPointer {
			owner = pointer.Elem()
		}
		named, isNamed := owner.(*types.Named)
		if isNamed && named.Obj().Pkg() != nil && named.Obj().Pkg().Path() == module+"internal/directory" {
			read[named.Obj().Name()+"."+selection.Obj().Name()] = true
		}
	}
}

// checksItems reports whether a file only checks items when an operator sends them, or shows those that are in force.
func checksItems(path string) bool {
	for _, file := range []string{"internal/directory/patch.go", "internal/gateway/limitsreport.go"} {
		if strings.HasSuffix(filepath.ToSlash(path), file) {
			return true
		}
	}
	return false
}

package reference

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
)

const introduction = `# Settings

Made from the code by ` + "`make docs`" + `; do not edit.

Each process reads one YAML file, which ` + "`thorntiller config check FILE`" + ` checks whole. Durations carry a
unit: us, ms, s, m or h, such as ` + "`150ms`" + `. Sizes are in bytes. Addresses are IP:port with IP numbers, and
stay on the loopback interface unless ` + "`allow_non_loopback: true`" + ` is set. Flags of the process override its
name, zone, data folder and addresses.
`

// WriteSettings writes the page.
func WriteSettings(out io.Writer) error {
	var page strings.Builder
	page.WriteString(introduction)
	writeRole(&page, "Controller", config.DefaultController())
	writeRole(&page, "Router", config.DefaultRouter())
	writeRole(&page, "Gateway", config.DefaultGateway())
	_, err := io.WriteString(out, page.String())
	return err
}

func writeRole(page *strings.Builder, title string, defaults any) {
	fmt.Fprintf(page, "\n## %s\n\n| field | form | default | bounds | meaning |\n|---|---|---|---|---|\n", title)
	value := reflect.ValueOf(defaults)
	writeFields(page, "", config.Schema(value.Type()), value)
}

func writeFields(page *strings.Builder, prefix string, fields []config.Field, defaults reflect.Value) {
	for index, field := range fields {
		value := defaults.Field(index)
		switch field.Kind {
		case config.KindGroup:
			writeFields(page, prefix+field.Name+".", field.Fields, value)
		case config.KindGroups:
			writeRow(page, prefix+field.Name, field, "")
			entry := reflect.Zero(value.Type().Elem())
			writeFields(page, prefix+field.Name+"[].", field.Fields, entry)
		default:
			writeRow(page, prefix+field.Name, field, defaultText(value))
		}
	}
}

func writeRow(page *strings.Builder, path string, field config.Field, text string) {
	if text != "" {
		text = "`" + text + "`"
	}
	fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n", path, field.Kind, text, bounds(field.Validate), field.Doc)
}

func defaultText(value reflect.Value) string {
	switch typed := value.Interface().(type) {
	case time.Duration:
		return shortDuration(typed)
	case []string:
		return strings.Join(typed, ", ")
	default:
		return fmt.Sprint(typed)
	}
}

// shortDuration drops the zero units at the end of a duration's text.
func shortDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// bounds words the lower and upper bound in a tag validate.
func bounds(validate string) string {
	var words []string
	for check := range strings.SplitSeq(validate, ",") {
		name, parameter, _ := strings.Cut(check, "=")
		switch name {
		case "min":
			words = append(words, "from "+parameter)
		case "max":
			words = append(words, "to "+parameter)
		case "dive":
			return strings.Join(words, " ")
		}
	}
	return strings.Join(words, " ")
}

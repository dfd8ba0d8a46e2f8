package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// binder turns the syntax tree of a settings file into values for koanf. It
// checks names and forms against the schema and remembers each field's line.
type binder struct {
	report *report
}

// group binds one mapping.
func (b *binder) group(path string, fields []Field, node ast.Node) map[string]any {
	values := map[string]any{}
	for _, entry := range entriesOf(node) {
		name := entry.Key.GetToken().Value
		entryPath := join(path, name)
		b.report.lines[entryPath] = entry.Key.GetToken().Position.Line
		field, found := find(fields, name)
		if !found {
			b.unknown(entryPath, fields, name)
			continue
		}
		if value, bound := b.value(entryPath, field, entry.Value); bound {
			values[name] = value
		}
	}
	return values
}

func (b *binder) unknown(path string, fields []Field, name string) {
	remedy := "remove it; docs/CONFIGURATION.md lists the fields"
	if near := nearest(fields, name); near != "" {
		remedy = fmt.Sprintf("did you mean %s?", near)
	}
	b.report.addOwn(path, "", "unknown field", remedy, true)
}

// value binds the value of one field. It returns false after it reported a
// problem.
func (b *binder) value(path string, field Field, node ast.Node) (any, bool) {
	switch field.Kind {
	case KindGroup:
		if !isMapping(node) {
			return b.wrong(path, node, false, "must be a group of fields", "write its fields on indented lines below it")
		}
		return b.group(path, field.Fields, node), true
	case KindGroups, KindTexts:
		return b.list(path, field, node)
	default:
		return b.scalar(path, field.Kind, node)
	}
}

func (b *binder) list(path string, field Field, node ast.Node) (any, bool) {
	sequence, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		return b.wrong(path, node, false, "must be a list", "write one entry a line, each after a dash")
	}
	values := make([]any, 0, len(sequence.Values))
	for index, entry := range sequence.Values {
		entryPath := fmt.Sprintf("%s[%d]", path, index)
		b.report.lines[entryPath] = entry.GetToken().Position.Line
		entryField := Field{Kind: KindText}
		if field.Kind == KindGroups {
			entryField = Field{Kind: KindGroup, Fields: field.Fields}
		}
		value, bound := b.value(entryPath, entryField, entry)
		if !bound {
			// An entry that cannot be read must not shift the ones after it.
			value = nil
		}
		values = append(values, value)
	}
	return values, true
}

func (b *binder) scalar(path string, kind Kind, node ast.Node) (any, bool) {
	switch kind {
	case KindDuration:
		return b.duration(path, node)
	case KindInteger:
		if _, isInteger := node.(*ast.IntegerNode); isInteger {
			if value, err := strconv.ParseInt(node.GetToken().Value, 0, 64); err == nil {
				return value, true
			}
		}
		return b.wrong(path, node, true, "must be a whole number", "write digits alone, such as 100")
	case KindNumber:
		if value, err := strconv.ParseFloat(node.GetToken().Value, 64); err == nil && isNumber(node) {
			return value, true
		}
		return b.wrong(path, node, true, "must be a number", "write digits, such as 0.01")
	case KindBoolean:
		if boolean, isBoolean := node.(*ast.BoolNode); isBoolean {
			return boolean.Value, true
		}
		return b.wrong(path, node, true, "must be true or false", "write true or false")
	default:
		if text, isText := node.(*ast.StringNode); isText {
			return text.Value, true
		}
		return b.wrong(path, node, true, "must be text", "put the value in double quotes")
	}
}

func (b *binder) duration(path string, node ast.Node) (any, bool) {
	text := node.GetToken().Value
	if isNumber(node) {
		return b.wrong(path, node, true, "a duration needs a unit", fmt.Sprintf("write %sms, or another of the units us, ms, s, m, h", text))
	}
	if _, err := time.ParseDuration(text); err != nil {
		return b.wrong(path, node, true, "is no duration", "write a number with one of the units us, ms, s, m, h, such as 150ms")
	}
	return text, true
}

// wrong reports a value that cannot be bound. Single is true where a single value must stand.
func (b *binder) wrong(path string, node ast.Node, single bool, message, remedy string) (any, bool) {
	text := ""
	if !isMapping(node) && node.Type() != ast.SequenceType {
		text = node.GetToken().Value
	}
	if node.Type() == ast.NullType {
		single = false // its entries may follow
		message = "has no value"
		remedy = "give it a value, or remove the line"
	}
	b.report.addOwn(path, text, message, remedy, single)
	return nil, false
}

// overrides puts the values of flags in the place of the file's.
func (b *binder) overrides(fields []Field, values map[string]any, overrides []Override) {
	for _, override := range overrides {
		b.report.flags[override.Field] = override.Flag
		field, found := find(fields, override.Field)
		switch {
		case !found:
			b.unknown(override.Field, fields, override.Field)
		case field.Kind == KindTexts:
			entries := strings.Split(override.Value, ",")
			for index := range entries {
				b.report.flags[fmt.Sprintf("%s[%d]", override.Field, index)] = override.Flag
			}
			values[override.Field] = entries
		default:
			values[override.Field] = override.Value
		}
		b.report.problems = slices.DeleteFunc(b.report.problems, func(problem Problem) bool {
			return found && problem.Field == override.Field
		})
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func isMapping(node ast.Node) bool {
	return node.Type() == ast.MappingType || node.Type() == ast.MappingValueType
}

func isNumber(node ast.Node) bool {
	return node.Type() == ast.IntegerType || node.Type() == ast.FloatType
}

func entriesOf(node ast.Node) []*ast.MappingValueNode {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}
	default:
		return nil
	}
}

package config

import (
	"reflect"
	"time"
)

// Kind is the form that a field's value takes in a settings file.
type Kind string

// Kinds of fields.
const (
	KindText     Kind = "text"
	KindInteger  Kind = "integer"
	KindNumber   Kind = "number"
	KindBoolean  Kind = "true or false"
	KindDuration Kind = "duration"
	KindTexts    Kind = "list of text"
	KindGroup    Kind = "group"
	KindGroups   Kind = "list of groups"
)

// Field describes one field of a settings file. The typed structs are its only
// source.
type Field struct {
	Name     string
	Kind     Kind
	Doc      string
	Validate string
	// Fields are those of a group or of each entry of a list of groups.
	Fields []Field
}

// Schema returns the fields of a settings struct in their order. It takes the
// names from the tag koanf and the descriptions from the tag doc.
func Schema(settings reflect.Type) []Field {
	fields := make([]Field, 0, settings.NumField())
	for index := range settings.NumField() {
		fields = append(fields, describe(settings.Field(index)))
	}
	return fields
}

func describe(member reflect.StructField) Field {
	field := Field{
		Name:     member.Tag.Get("koanf"),
		Kind:     kindOf(member.Type),
		Doc:      member.Tag.Get("doc"),
		Validate: member.Tag.Get("validate"),
	}
	switch field.Kind {
	case KindGroup:
		field.Fields = Schema(member.Type)
	case KindGroups:
		field.Fields = Schema(member.Type.Elem())
	}
	return field
}

func kindOf(value reflect.Type) Kind {
	if value == reflect.TypeFor[time.Duration]() {
		return KindDuration
	}
	switch value.Kind() {
	case reflect.Int:
		return KindInteger
	case reflect.Float64:
		return KindNumber
	case reflect.Bool:
		return KindBoolean
	case reflect.Struct:
		return KindGroup
	case reflect.Slice:
		if value.Elem().Kind() == reflect.Struct {
			return KindGroups
		}
		return KindTexts
	default:
		return KindText
	}
}

// find returns the field of that name.
func find(fields []Field, name string) (Field, bool) {
	for _, field := range fields {
		if field.Name == name {
			return field, true
		}
	}
	return Field{}, false
}

// nearest returns the field name with the smallest edit distance to name, or
// an empty string when none is near.
func nearest(fields []Field, name string) string {
	best := ""
	bestDistance := len(name)/2 + 1
	for _, field := range fields {
		distance := editDistance(name, field.Name)
		if distance < bestDistance {
			best = field.Name
			bestDistance = distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two names, in bytes.
func editDistance(left, right string) int {
	previous := make([]int, len(right)+1)
	for column := range previous {
		previous[column] = column
	}
	for row := range len(left) {
		current := make([]int, len(right)+1)
		current[0] = row + 1
		for column := range len(right) {
			cost := 1
			if left[row] == right[column] {
				cost = 0
			}
			current[column+1] = min(previous[column]+cost, previous[column+1]+1, current[column]+1)
		}
		previous = current
	}
	return previous[len(right)]
}

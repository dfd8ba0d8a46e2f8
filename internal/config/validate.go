package config

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// namePattern is what names of processes, clusters and zones look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var checker = newChecker()

func newChecker() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("koanf")
	})
	register(checker, "name", namePattern.MatchString)
	register(checker, "address", func(text string) bool { return checkAddress(text).message == "" })
	register(checker, "platform_url", func(text string) bool { return checkURL(text).message == "" })
	return checker
}

func register(checker *validator.Validate, tag string, valid func(string) bool) {
	check := func(level validator.FieldLevel) bool { return valid(level.Field().String()) }
	if err := checker.RegisterValidation(tag, check, true); err != nil {
		panic("config: register check " + tag + ": " + err.Error())
	}
}

// finding is a fault of one value.
type finding struct {
	message string
	remedy  string
}

// validate checks each field by itself, as its tag validate asks.
func (r *report) validate(settings any) {
	err := checker.Struct(settings)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return
	}
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		found := explain(failure)
		r.addOwn(path, valueText(failure), found.message, found.remedy, failure.Kind() != reflect.Slice)
	}
}

func valueText(failure validator.FieldError) string {
	if failure.Kind() == reflect.Slice {
		return ""
	}
	return fmt.Sprint(failure.Value())
}

// explain words a failed check of the tag validate.
func explain(failure validator.FieldError) finding {
	text := fmt.Sprint(failure.Value())
	switch failure.Tag() {
	case "name":
		if text == "" {
			return finding{"is missing", "give it a name of letters, digits, dots and dashes"}
		}
		return finding{"is no valid name", "use 1 to 63 letters, digits, dots, underscores and dashes, a letter or digit first"}
	case "address":
		return checkAddress(text)
	case "platform_url":
		return checkURL(text)
	case "required":
		return finding{"is missing", "give it a value"}
	case "min":
		return finding{"is too small", "use at least " + failure.Param()}
	case "max":
		return finding{"is too large", "use at most " + failure.Param()}
	case "oneof":
		return finding{"is not one of the allowed values", "use one of: " + failure.Param()}
	case "eq":
		return finding{"is not the role of this process", "write role: " + failure.Param()}
	default:
		return finding{"fails the check " + failure.Tag(), "see docs/CONFIGURATION.md"}
	}
}

// checkAddress judges the text of an IP:port.
func checkAddress(text string) finding {
	host, port, err := net.SplitHostPort(text)
	if text == "" {
		return finding{"is missing", "give an address such as 127.0.0.1:7000"}
	}
	if err != nil {
		return finding{"is no IP:port", "write an address such as 127.0.0.1:7000 or [::1]:7000"}
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return finding{"the host is no IP number", fmt.Sprintf("write the IP number of %q, such as 127.0.0.1:%s", host, port)}
	}
	if address.IsUnspecified() {
		return finding{"other processes cannot connect to the unspecified address", "write the IP number of this machine"}
	}
	number, err := strconv.ParseUint(port, 10, 64)
	if err != nil || number < 1 || number > 65535 {
		return finding{"the port is out of range", "use a port from 1 to 65535"}
	}
	return finding{}
}

// checkURL judges the text of an http URL with an IP:port as its host.
func checkURL(text string) finding {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return finding{"is no http URL", "write a URL such as http://127.0.0.1:7600/machines"}
	}
	return checkAddress(parsed.Host)
}

// isLoopback reports whether a valid address stays on this machine. What is no
// valid address has a problem of its own.
func isLoopback(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err != nil || address.Addr().Unmap().IsLoopback()
}

package config

import (
	"fmt"
	"time"

	"github.com/thorntiller/thorntiller/internal/certificate"
)

// TLS holds the files that authenticate a process to the other processes and to
// operators. All empty stands for plain text.
type TLS struct {
	Certificate    string        `koanf:"certificate" doc:"PEM file of this process's certificate and its chain; the common name is the process's name."`
	Key            string        `koanf:"key" doc:"PEM file of the certificate's private key."`
	Authority      string        `koanf:"authority" doc:"PEM file of the certificates that sign those of processes and operators."`
	ReloadInterval time.Duration `koanf:"reload_interval" validate:"min=100ms,max=1h" doc:"Time between two looks at whether the files changed."`
	AllowPlaintext bool          `koanf:"allow_plaintext" doc:"Allows plain text between machines, without certificates."`
}

func defaultTLS() TLS {
	return TLS{ReloadInterval: 5 * time.Second}
}

// Files returns the paths of the files.
func (t TLS) Files() certificate.Files {
	return certificate.Files{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}
}

// Enabled reports whether connections are to be encrypted.
func (t TLS) Enabled() bool {
	return !t.Files().Empty()
}

// Right is what an operator may do.
type Right string

// Rights of operators. Reading needs a certificate but no right.
const (
	RightPlan     Right = "plan"
	RightConfirm  Right = "confirm"
	RightTransfer Right = "transfer"
)

// Operator gives rights to the bearer of a certificate.
type Operator struct {
	Name   string   `koanf:"name" validate:"required,max=128" doc:"Common name of the operator's certificate."`
	Rights []string `koanf:"rights" validate:"required,dive,oneof=plan confirm transfer" doc:"What the operator may do: plan, confirm, transfer."`
}

// tls checks the files, and that traffic beyond this machine is encrypted or
// asked for in plain text.
func (r *report) tls(settings TLS, allowNonLoopback bool) {
	switch {
	case settings.Enabled():
		r.files(settings)
	case allowNonLoopback && !settings.AllowPlaintext:
		r.add("tls", "", "is missing, so that traffic between machines would be plain text",
			"name certificate, key and authority, or set tls.allow_plaintext: true")
	}
}

func (r *report) files(settings TLS) {
	named := []struct{ field, path string }{
		{"tls.certificate", settings.Certificate}, {"tls.key", settings.Key}, {"tls.authority", settings.Authority},
	}
	complete := true
	for _, file := range named {
		if file.path == "" {
			r.add(file.field, "", "is missing", "name all of certificate, key and authority, or none")
			complete = false
		}
	}
	if !complete {
		return
	}
	if _, err := certificate.Open(settings.Files()); err != nil {
		r.add("tls", settings.Certificate, fmt.Sprintf("cannot be used: %v", err), "name readable PEM files that belong together")
	}
}

// operators checks that rights are given where they can be checked, and that
// somebody has them.
func (r *report) operators(operators []Operator, secured bool) {
	if len(operators) == 0 && secured {
		r.add("api.operators", "", "is empty, so that nobody could plan or confirm", "list the operators' common names with their rights")
	}
	if len(operators) > 0 && !secured {
		r.add("api.operators", operators[0].Name, "has no effect without certificates", "name the files under tls, or remove the list")
	}
	names := newClashes(r)
	for index, operator := range operators {
		names.take(fmt.Sprintf("api.operators[%d].name", index), operator.Name)
	}
}

package fleet

import (
	"path/filepath"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/authority"
)

// operatorName is the common name of the operator's certificate.
const operatorName = "lab"

// tlsSettings are the certificate files in a settings file.
type tlsSettings struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	Authority   string `yaml:"authority,omitempty"`
}

// apiSettings are the fields of the intent API that a fleet sets.
type apiSettings struct {
	Operators []operatorSettings `yaml:"operators,omitempty"`
}

type operatorSettings struct {
	Name   string   `yaml:"name"`
	Rights []string `yaml:"rights"`
}

// openClient opens the operator's client, with a certificate of its own if the
// fleet is encrypted.
func (f *Fleet) openClient() error {
	config := intentapi.ClientConfig{Endpoints: f.Endpoints(), CallTimeout: callTimeout}
	if f.options.Encrypted {
		signer, err := authority.New(filepath.Join(f.options.Folder, "settings"), "authority")
		if err != nil {
			return err
		}
		f.authority = signer
		if config.Certificates, err = f.Certificates(operatorName); err != nil {
			return err
		}
	}
	client, err := intentapi.NewClient(config)
	f.client = client
	return err
}

// Certificates issues a certificate for a name. The fleet must be encrypted.
func (f *Fleet) Certificates(name string) (*certificate.Store, error) {
	files, err := f.authority.Issue(name)
	if err != nil {
		return nil, err
	}
	return certificate.Open(files)
}

// OperatorFiles returns the paths of the operator's certificate, which Start
// issued. The fleet must be encrypted.
func (f *Fleet) OperatorFiles() certificate.Files {
	return f.authority.Paths(operatorName)
}

// tlsOf issues a process's certificate; empty for plain text.
func (f *Fleet) tlsOf(name string) (tlsSettings, error) {
	if f.authority == nil {
		return tlsSettings{}, nil
	}
	files, err := f.authority.Issue(name)
	return tlsSettings{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}, err
}

// rights lists what the operator may do in an encrypted fleet.
func (f *Fleet) rights() apiSettings {
	if f.authority == nil {
		return apiSettings{}
	}
	return apiSettings{Operators: []operatorSettings{{Name: operatorName, Rights: []string{"plan", "confirm", "transfer"}}}}
}

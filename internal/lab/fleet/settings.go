package fleet

import (
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// peerSettings is one entry of the configured group.
type peerSettings struct {
	Name        string `yaml:"name"`
	PeerAddress string `yaml:"peer_address"`
	APIAddress  string `yaml:"api_address"`
}

// controllerSettings are the fields of a controller's settings file that a fleet
// sets; the rest keeps its default.
type controllerSettings struct {
	Role          string           `yaml:"role"`
	Name          string           `yaml:"name"`
	ClusterName   string           `yaml:"cluster_name"`
	Zone          string           `yaml:"zone"`
	DataDirectory string           `yaml:"data_directory"`
	PeerAddress   string           `yaml:"peer_address"`
	APIAddress    string           `yaml:"api_address"`
	Controllers   []peerSettings   `yaml:"controllers"`
	Platform      platformSettings `yaml:"platform"`
	TLS           tlsSettings      `yaml:"tls"`
	API           apiSettings      `yaml:"api"`
}

type platformSettings struct {
	URL string `yaml:"url"`
}

// routerSettings are the fields of a router's settings file that a fleet sets.
type routerSettings struct {
	Role         string      `yaml:"role"`
	Name         string      `yaml:"name"`
	Zone         string      `yaml:"zone"`
	Address      string      `yaml:"address"`
	PeerAddress  string      `yaml:"peer_address"`
	Advertised   string      `yaml:"advertised_peer_address"`
	AdminAddress string      `yaml:"admin_address"`
	Controllers  []string    `yaml:"controllers"`
	TLS          tlsSettings `yaml:"tls"`
}

func writeSettings(folder, name string, settings any) (string, error) {
	encoded, err := yaml.Marshal(settings)
	if err != nil {
		return "", eris.Wrapf(err, "encode the settings of %s", name)
	}
	path := filepath.Join(folder, name+".yaml")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return "", eris.Wrapf(err, "write the settings of %s", name)
	}
	return path, nil
}

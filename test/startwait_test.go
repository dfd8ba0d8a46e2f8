package test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/authority"
)

// setOld dates the settings file so that it seems to have been written long ago.
func (p *roleProcess) setOld() {
	p.t.Helper()
	old := time.Now().Add(-time.Minute)
	if err := os.Chtimes(p.settings, old, old); err != nil {
		p.t.Fatal(err)
	}
}

// TestSettingsThatLookOldWhileTheyAreWritten guards against processes that end because the time of day was set forward
// after the first half of their settings was written.
func TestSettingsThatLookOldWhileTheyAreWritten(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			p.writeSettings(p.text[:len(p.text)/2])
			p.setOld()
			p.start()
			p.logged("settings_waiting")
			p.writeSettings(p.text)
			p.logged("listening")
		})
	}
}

// addCertificate adds a certificate to the settings, and returns the path of its file.
func (p *roleProcess) addCertificate(role string) string {
	p.t.Helper()
	signer, err := authority.New(p.folder, "authority")
	if err != nil {
		p.t.Fatal(err)
	}
	files, err := signer.Issue(map[string]string{"controller": "c1", "router": "r1"}[role])
	if err != nil {
		p.t.Fatal(err)
	}
	p.text += fmt.Sprintf("tls: {certificate: %s, key: %s, authority: %s}\n", files.Certificate, files.Key, files.Authority)
	if role == "controller" {
		p.text += "api: {operators: [{name: operator, rights: [plan]}]}\n"
	}
	p.writeSettings(p.text)
	return files.Certificate
}

// TestCertificateReplacedDuringTheStart guards against processes that end because their certificate is being replaced,
// while the settings that name it have not changed.
func TestCertificateReplacedDuringTheStart(t *testing.T) {
	for _, role := range []string{"controller", "router"} {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			path := p.addCertificate(role)
			p.setOld()
			whole, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, whole[:len(whole)/2], 0o600); err != nil {
				t.Fatal(err)
			}
			p.start()
			p.logged("settings_waiting")
			if err := os.WriteFile(path, whole, 0o600); err != nil {
				t.Fatal(err)
			}
			p.logged("listening")
		})
	}
}

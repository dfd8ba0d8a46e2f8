package test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

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

// awaitStop waits until the process has stopped as planned.
func (p *roleProcess) awaitStop() {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(patience):
		p.signal(syscall.SIGQUIT) // prints the goroutines
		<-p.ended
		p.t.Fatalf("the process did not stop; output: %s", p.output.String())
	}
	if !p.command.ProcessState.Success() || !strings.Contains(p.output.String(), `"event":"stopped"`) {
		p.t.Errorf("%s; output: %s", p.command.ProcessState, p.output.String())
	}
}

// startsStopped is how often a role is stopped in its start: what the test guards against depends on the order of
// goroutines. Stops of controllers are quick.
var startsStopped = map[string]int{"controller": 12, "gateway": 4, "router": 4}

// TestStopDuringTheStart guards against a server that begins to serve after it was stopped, and keeps its process from
// ending.
func TestStopDuringTheStart(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			for range startsStopped[role] {
				p := newRole(t, role)
				if role == "gateway" {
					p.writeSettings(p.text + "stop_timeout: 1s\nstop_notice: 0s\n")
				}
				p.start()
				p.logged("listening")
				p.signal(syscall.SIGTERM)
				p.awaitStop()
			}
		})
	}
}

// makeSettingsPipe replaces the settings file by a pipe.
func (p *roleProcess) makeSettingsPipe() {
	p.t.Helper()
	if err := os.Remove(p.settings); err != nil {
		p.t.Fatal(err)
	}
	if err := unix.Mkfifo(p.settings, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// TestStopWhileSettingsAreNotValid: a process that waits for its settings ends when it is told to stop, as by a planned
// stop.
func TestStopWhileSettingsAreNotValid(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			p.writeSettings(p.text[:len(p.text)/2])
			p.start()
			p.logged("settings_waiting")
			p.signal(syscall.SIGTERM)
			p.awaitStop()
		})
	}
}

// TestStopWhileSettingsAreRead guards against a process that does not hear SIGTERM while the read of its settings does
// not end, at the start or after SIGHUP.
func TestStopWhileSettingsAreRead(t *testing.T) {
	for _, role := range roles {
		for _, when := range []string{"start", "reload"} {
			t.Run(role+"/"+when, func(t *testing.T) {
				p := newRole(t, role)
				if when == "reload" {
					p.start()
					p.logged("listening")
					p.makeSettingsPipe()
					p.signal(syscall.SIGHUP)
				} else {
					p.makeSettingsPipe()
					p.start()
				}
				// The open returns once the process reads.
				writer, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = writer.Close() }()
				p.signal(syscall.SIGTERM)
				p.awaitStop()
			})
		}
	}
}

// TestConnectionsAreRefusedWhileAnotherPortIsTaken guards against callers that wait at a port which a process has opened
// and does not serve, since it waits for another port.
func TestConnectionsAreRefusedWhileAnotherPortIsTaken(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			taken, free := p.admin, p.callers
			if role == "controller" {
				free = p.peers
			}
			holder, err := net.Listen("tcp", taken)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = holder.Close() }()
			p.start()
			p.logged("listen_waiting")
			p.eventually("a connection to "+free+" is refused or reset", func() bool { return !staysOpen(t, free) })
			if err := holder.Close(); err != nil {
				t.Fatal(err)
			}
			p.answers(p.callers, "/any")
		})
	}
}

// staysOpen reports whether a connection to an address is accepted and kept open for a while.
func staysOpen(t *testing.T, address string) bool {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err = connection.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

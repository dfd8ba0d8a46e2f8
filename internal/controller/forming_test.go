package controller

import (
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directoryapi"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestCallsAreAnsweredWhileNoGroupForms guards against calls that hang, health checks included, at a controller whose
// group does not form since the others do not run.
func TestCallsAreAnsweredWhileNoGroupForms(t *testing.T) {
	addresses := freeAddresses(t, 2*groupSize)
	settings := config.DefaultController()
	for number, name := range []string{"c0", "c1", "c2"} {
		settings.Controllers = append(settings.Controllers, config.ControllerPeer{
			Name: name, PeerAddress: addresses[2*number], APIAddress: addresses[2*number+1],
		})
	}
	self := settings.Controllers[0]
	settings.Name, settings.PeerAddress, settings.APIAddress = self.Name, self.PeerAddress, self.APIAddress
	settings.DataDirectory = filepath.Join(t.TempDir(), self.Name)
	g := &group{t: t, processes: []*process{{settings: settings, files: vfs.System{}}}}
	g.start(0)
	g.connect([]string{self.APIAddress})
	missing := settings.Controllers[1].PeerAddress
	for _, c := range []struct {
		method, path string
		status       int
		content      string
	}{
		{http.MethodGet, intentapi.PathLive, http.StatusOK, "live"},
		{http.MethodGet, intentapi.PathReady, http.StatusServiceUnavailable, missing},
		{http.MethodGet, intentapi.PathStatus, http.StatusMisdirectedRequest, missing},
		{http.MethodPost, intentapi.PathPlans, http.StatusMisdirectedRequest, "not_run"},
		{http.MethodPost, directoryapi.PathItems, http.StatusServiceUnavailable, missing},
		{http.MethodPost, strings.Replace(directoryapi.PathHeartbeat, ":id", "i-1", 1), http.StatusServiceUnavailable, missing},
	} {
		if status, body := awaitAnswer(t, c.method, "http://"+self.APIAddress+c.path, c.content); status != c.status || !strings.Contains(body, c.content) {
			t.Errorf("%s %s: status %d, %q, want %d with %q", c.method, c.path, status, body, c.status, c.content)
		}
	}
}

// awaitAnswer sends a call until its answer contains a text, and returns the last answer. Each call must be answered
// within a second, the time after which instances give one up.
func awaitAnswer(t *testing.T, method, url, content string) (status int, body string) {
	t.Helper()
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end) && !strings.Contains(body, content); time.Sleep(10 * time.Millisecond) {
		request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			continue // it does not listen yet, or does not answer in time
		}
		read, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		status, body = response.StatusCode, string(read)
	}
	return status, body
}

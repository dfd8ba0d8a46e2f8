package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/callerapi"
)

const (
	host        = "shop.example"
	serviceName = "view"
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 64 << 20
)

// items are the configuration of a site. The timeout is no bound of the tests: it is longer than each of them.
const items = `{"set":{"routes":[
	{"name":"look","host":"shop.example","prefix":"/look/","kind":"repeatable","timeout_ms":60000,"target_latency_ms":60000,"priority":2,"service":"view","max_attempts":2,"version":1}],
	"services":[{"name":"view","health_path":"/health","max_connections":1000,"version":1}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":5000,"idle_timeout_ms":30000,"version":1}},"remove":{"routes":[]}}`

// smallestMachine is the smallest machine that a gateway runs on.
var smallestMachine = machine{memoryBytes: 144e6, descriptors: 4100}

// memorySetting tells a process the memory of the smallest machine.
const memorySetting = "memory_limit_bytes: 150994944\n"

// site is a controller, a gateway and a server.
type site struct {
	t          *testing.T
	controller *process
	gateway    *process
	server     *standIn
	// api is the address of the controller, callers and peers those of the gateway.
	api, callers, peers string
	lastID              atomic.Int64
}

// newSite starts a site whose gateway serves. settings are further settings of the gateway.
func newSite(t *testing.T, settings string) *site {
	t.Helper()
	ports := freePorts(t, 5)
	s := &site{t: t, api: ports[0], callers: ports[1], peers: ports[2]}
	s.controller = startController(t, s.api, ports[3], "")
	s.server = startStandIn(t, s.api)
	_, controllerPort, err := net.SplitHostPort(ports[3])
	if err != nil {
		t.Fatal(err)
	}
	s.gateway = startProcess(t, "gateway", fmt.Sprintf("role: gateway\nname: g1\naddress: %s\nadmin_address: %s\npeer_address: %s\n"+
		"seeds: [%q]\ncontroller_port: %s\ncollector_percent: 40\n", s.callers, ports[4], s.peers, s.api, controllerPort)+memorySetting+settings)
	s.gateway.listens(ports[4])
	configure(s.controller, s.api)
	s.answersOrdinary()
	return s
}

// startController starts a controller that is alone in its cluster. settings are further settings.
func startController(t *testing.T, api, peers, settings string) *process {
	t.Helper()
	p := startProcess(t, "controller", fmt.Sprintf("role: controller\nname: c1\ndata_directory: %s\npeer_address: %s\napi_address: %s\n"+
		"seeds: [%q]\nfirst_start: true\ncollector_percent: 40\n", filepath.Join(t.TempDir(), "data"), peers, api, api)+settings)
	p.listens(api)
	return p
}

// newSiteWithLargeHeads starts a site whose gateway serves requests with heads of the given size.
func newSiteWithLargeHeads(t *testing.T, maxBytes int) *site {
	t.Helper()
	s := newSite(t, "")
	sendItems(s.controller, s.api, fmt.Sprintf(`{"set":{"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":5000,"idle_timeout_ms":30000,"version":2}}}`,
		maxBytes, maxBodyBytes))
	const margin = 1000
	s.gateway.eventually("a large head is served", func() bool {
		request, err := http.NewRequest(http.MethodGet, "http://"+host+"/look/ordinary?bytes=100", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(callerapi.HeaderRequestID, fmt.Sprintf("large-%d", s.lastID.Add(1)))
		request.Header.Set("X-Padding", strings.Repeat("x", maxBytes-margin))
		status, err := exchange(s.callers, request)
		return err == nil && status == http.StatusOK
	})
	return s
}

// configure sends the configuration until it is acknowledged.
func configure(controller *process, api string) { sendItems(controller, api, items) }

// sendItems sends items until they are acknowledged.
func sendItems(controller *process, api, items string) {
	controller.t.Helper()
	client := &http.Client{Timeout: patience}
	defer client.CloseIdleConnections()
	controller.eventually("the configuration is acknowledged", func() bool {
		response, err := client.Post("http://"+api+"/v1/items", "application/json", strings.NewReader(items))
		if err != nil {
			return false
		}
		content, _ := io.ReadAll(response.Body) // only for the log
		_ = response.Body.Close()
		if response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError {
			controller.t.Fatalf("the configuration was refused: %s", content)
		}
		return response.StatusCode == http.StatusOK
	})
}

// send sends one request on a connection of its own and returns the status of the answer, which is read whole.
func (s *site) send(body io.Reader, length int64) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+host+"/look/ordinary?bytes=100", body)
	if err != nil {
		return 0, err
	}
	request.ContentLength = length
	request.Header.Set(callerapi.HeaderRequestID, fmt.Sprintf("ordinary-%d", s.lastID.Add(1)))
	return exchange(s.callers, request)
}

// exchange sends a request on a connection of its own and returns the status of the answer, which is read whole.
func exchange(address string, request *http.Request) (int, error) {
	connection, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(patience)); err != nil {
		return 0, err
	}
	_ = request.Write(connection) // a refusal may come before the whole request is sent
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// answersOrdinary waits until an ordinary request is served.
func (s *site) answersOrdinary() {
	s.t.Helper()
	s.gateway.eventually("an ordinary request is served", func() bool {
		status, err := s.send(strings.NewReader("ordinary"), int64(len("ordinary")))
		return err == nil && status == http.StatusOK
	})
}

// outlasts plays a crowd against the gateway.
func (s *site) outlasts(c *crowd) {
	s.t.Helper()
	s.gateway.outlasts(c, smallestMachine, s.answersOrdinary)
}

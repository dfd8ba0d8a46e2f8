package test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// patience is the timeout of each wait for a condition.
const patience = 40 * time.Second

// binaryFolder is where productBinary puts the product; it is removed after all tests.
var binaryFolder string

// productBinary builds the product once for all tests of this package.
var productBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(binaryFolder, "thorntiller")
	output, err := exec.Command("go", "build", "-o", path, "../cmd/thorntiller").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the product: %w\n%s", err, output)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	var err error
	if binaryFolder, err = os.MkdirTemp("", "thorntiller-test-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(binaryFolder) // a temporary folder
	os.Exit(status)
}

// roleProcess is one process of the product with a role, alone in its cluster.
type roleProcess struct {
	t       *testing.T
	command *exec.Cmd
	// settings is the path of the settings file, text its content.
	settings string
	text     string
	ended    chan struct{}
	output   syncBuffer
	// callers, admin and peers are the addresses of its listeners.
	callers, admin, peers string
	folder                string
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.String()
}

// roles are the roles of the product.
var roles = []string{"controller", "gateway", "router"}

// newRole writes the settings of a process that is not started yet. Its listeners get loopback ports that are free.
func newRole(t *testing.T, role string) *roleProcess {
	t.Helper()
	p := &roleProcess{t: t, folder: t.TempDir(), ended: make(chan struct{})}
	p.settings = filepath.Join(p.folder, role+".yaml")
	ports := freePorts(t, 4)
	p.callers, p.admin, p.peers = ports[0], ports[1], ports[2]
	switch role {
	case "controller":
		p.admin = p.callers
		p.text = fmt.Sprintf("role: controller\nname: c1\ndata_directory: %s\npeer_address: %s\napi_address: %s\ncontrollers:\n"+
			"  - {name: c1, peer_address: %q, api_address: %q}\n", p.dataFolder(), p.peers, p.callers, p.peers, p.callers)
	case "gateway":
		p.text = fmt.Sprintf("role: gateway\nname: g1\naddress: %s\nadmin_address: %s\npeer_address: %s\nseeds: [%q]\n",
			p.callers, p.admin, p.peers, ports[3])
	case "router":
		p.text = fmt.Sprintf("role: router\nname: r1\naddress: %s\nadmin_address: %s\npeer_address: %s\ncontrollers: [%q]\n",
			p.callers, p.admin, p.peers, ports[3])
	}
	p.writeSettings(p.text)
	path, err := productBinary()
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(path, role, "--config", p.settings)
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	return p
}

func (p *roleProcess) dataFolder() string { return filepath.Join(p.folder, "data") }

func (p *roleProcess) writeSettings(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// ownAddress returns a loopback address that is specific to this process. Outgoing connections take their ports from
// another one, so that none of them can hold a port that was found to be free.
func ownAddress() string {
	return net.IPv4(127, byte(64+os.Getpid()>>16), byte(os.Getpid()>>8), byte(os.Getpid())).String()
}

// freePorts returns loopback addresses whose ports nobody listens at.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(ownAddress(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// start starts the process, which is killed when the test ends.
func (p *roleProcess) start() {
	p.t.Helper()
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // the exit status is read from ProcessState
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = p.command.Process.Kill() // fails if the process has ended
		<-p.ended
	})
}

func (p *roleProcess) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("signal %s: %v; output: %s", signal, err, p.output.String())
	}
}

// eventually waits for a condition. It fails if the process ends before.
func (p *roleProcess) eventually(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.ended:
			p.t.Fatalf("the process ended (%s) before: %s; output: %s", p.command.ProcessState, what, p.output.String())
		default:
		}
		if time.Now().After(end) {
			p.t.Fatalf("condition not met within %s: %s; output: %s", patience, what, p.output.String())
		}
	}
}

// logged waits for a log line with the given event.
func (p *roleProcess) logged(event string) {
	p.t.Helper()
	p.eventually("a line with the event "+event, func() bool {
		return strings.Contains(p.output.String(), `"event":"`+event+`"`)
	})
}

// answers waits until HTTP requests to an address are answered, with any status.
func (p *roleProcess) answers(address, path string) {
	p.t.Helper()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	p.eventually(address+" answers "+path, func() bool {
		response, err := client.Get("http://" + address + path)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body) // only the answer counts
		_ = response.Body.Close()
		return true
	})
}

// TestHangUpDuringTheStart guards against a SIGHUP that ends a process which has not set its handlers yet.
func TestHangUpDuringTheStart(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			// The process waits in the read of its settings until the pipe has them.
			pipe := p.settings + ".pipe"
			if err := unix.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(pipe, p.settings); err != nil {
				t.Fatal(err)
			}
			p.start()
			writer, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.Remove(p.settings); err != nil {
				t.Fatal(err)
			}
			p.writeSettings(p.text)
			p.signal(syscall.SIGHUP)
			// A process that the signal ends has done so once it is waited for.
			select {
			case <-p.ended:
				t.Fatalf("SIGHUP ended the process: %s", p.command.ProcessState)
			case <-time.After(100 * time.Millisecond):
			}
			if _, err := writer.WriteString(p.text); err != nil {
				t.Fatal(err)
			}
			if err := writer.Close(); err != nil {
				t.Fatal(err)
			}
			p.logged("listening")
			p.logged("settings_reloaded")
		})
	}
}

// TestPortTakenAtTheStart guards against processes that end because a former one still holds a port.
func TestPortTakenAtTheStart(t *testing.T) {
	for _, role := range roles {
		for _, port := range []string{"callers", "admin", "peers"} {
			if role == "controller" && port == "admin" {
				continue
			}
			t.Run(role+"/"+port, func(t *testing.T) {
				p := newRole(t, role)
				address := map[string]string{"callers": p.callers, "admin": p.admin, "peers": p.peers}[port]
				holder, err := net.Listen("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				p.start()
				p.logged("listen_waiting")
				if err := holder.Close(); err != nil {
					t.Fatal(err)
				}
				p.eventually("it listens at "+address, func() bool {
					connection, err := net.Dial("tcp", address)
					if err != nil {
						return false
					}
					return connection.Close() == nil
				})
				p.logged("listening")
			})
		}
	}
}

// TestDataFolderLockedAtTheStart guards against a controller that ends because a former one still holds the folder.
func TestDataFolderLockedAtTheStart(t *testing.T) {
	p := newRole(t, "controller")
	if err := os.MkdirAll(p.dataFolder(), 0o700); err != nil {
		t.Fatal(err)
	}
	holder, err := os.Create(filepath.Join(p.dataFolder(), "lock"))
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(holder.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	p.start()
	p.logged("data_folder_waiting")
	if err := holder.Close(); err != nil {
		t.Fatal(err)
	}
	p.logged("leader_elected")
}

// TestSettingsWrittenDuringTheStart guards against processes that end because their settings file is being written.
func TestSettingsWrittenDuringTheStart(t *testing.T) {
	for _, role := range roles {
		for _, kind := range []string{"cut", "empty", "missing"} {
			t.Run(role+"/"+kind, func(t *testing.T) {
				p := newRole(t, role)
				switch kind {
				case "cut":
					p.writeSettings(p.text[:len(p.text)/2])
				case "empty":
					p.writeSettings("")
				case "missing":
					if err := os.Remove(p.settings); err != nil {
						t.Fatal(err)
					}
				}
				p.start()
				p.logged("settings_waiting")
				p.writeSettings(p.text)
				p.logged("listening")
			})
		}
	}
}

// TestWrongSettingsEndTheProcess: waiting does not help where a file that nobody writes any more is not valid.
func TestWrongSettingsEndTheProcess(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			p.writeSettings(p.text + "unknown_field: 1\n")
			p.start()
			select {
			case <-p.ended:
			case <-time.After(patience):
				t.Fatal("the process did not end")
			}
			if status := p.command.ProcessState.ExitCode(); status != 2 {
				t.Errorf("status %d, output %s", status, p.output.String())
			}
		})
	}
}

// TestLogReaderThatIsGone guards against processes that end by SIGPIPE once nobody reads their log.
func TestLogReaderThatIsGone(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			p.command.Stdout = writer
			if err := reader.Close(); err != nil {
				t.Fatal(err)
			}
			p.start()
			if err := writer.Close(); err != nil {
				t.Fatal(err)
			}
			p.answers(p.admin, "/health/live")
			p.signal(syscall.SIGHUP)
			p.answers(p.admin, "/health/live")
		})
	}
}

// spareDescriptors is how many descriptors a process may open beyond those that it has after its start.
const spareDescriptors = 24

// limitDescriptors lets the process open few further descriptors.
func (p *roleProcess) limitDescriptors() {
	p.t.Helper()
	folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	open, err := os.ReadDir(folder)
	if err != nil {
		p.t.Fatal(err)
	}
	limit := unix.Rlimit{Cur: uint64(len(open) + spareDescriptors), Max: uint64(len(open) + spareDescriptors)}
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		p.t.Fatal(err)
	}
}

// fill opens connections to an address until the process has no descriptor left, and returns how to close them.
func (p *roleProcess) fill(address string) (closeAll func()) {
	p.t.Helper()
	var open []net.Conn
	for range 4 * spareDescriptors {
		connection, err := net.DialTimeout("tcp", address, patience)
		if err != nil {
			break // the queue of the listener is full, or the process has ended
		}
		open = append(open, connection)
	}
	return func() {
		for _, connection := range open {
			_ = connection.Close() // nothing was sent
		}
	}
}

// TestNoDescriptorLeft guards against processes that end when they cannot accept a connection.
func TestNoDescriptorLeft(t *testing.T) {
	for _, role := range roles {
		for _, port := range []string{"callers", "admin", "peers"} {
			t.Run(role+"/"+port, func(t *testing.T) {
				p := newRole(t, role)
				p.start()
				p.answers(p.admin, "/health/live")
				p.limitDescriptors()
				closeAll := p.fill(map[string]string{"callers": p.callers, "admin": p.admin, "peers": p.peers}[port])
				// A process that ends for want of descriptors does so at once; one that lives answers after it.
				select {
				case <-p.ended:
					t.Fatalf("the process ended: %s; output: %s", p.command.ProcessState, p.output.String())
				case <-time.After(500 * time.Millisecond):
				}
				closeAll()
				p.answers(p.admin, "/health/live")
				p.answers(p.callers, "/any")
			})
		}
	}
}

// TestControllerWritesWithoutDescriptors guards against a controller whose callers take the descriptors that its log
// needs, and which ends as by a failure of its disk.
func TestControllerWritesWithoutDescriptors(t *testing.T) {
	p := newRole(t, "controller")
	p.writeSettings(p.text + "consensus: {snapshot_entries: 10}\n")
	p.start()
	p.logged("leader_elected")
	client := &http.Client{Timeout: patience}
	write := func(number int) error {
		body := fmt.Sprintf(`{"set":{"services":[{"name":"s%d","health_path":"/health","max_connections":10,"protocol":"h1","version":%d}]}}`, number, number+1)
		response, err := client.Post("http://"+p.callers+"/v1/items", "application/json", strings.NewReader(body))
		if err != nil {
			return err
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d: %s", response.StatusCode, content)
		}
		return err
	}
	if err := write(0); err != nil {
		t.Fatal(err)
	}
	p.limitDescriptors()
	closeAll := p.fill(p.callers)
	defer closeAll()
	for number := range 40 {
		if err := write(number + 1); err != nil {
			select {
			case <-p.ended:
			case <-time.After(time.Second):
			}
			t.Fatalf("write %d: %v; output: %s", number, err, p.output.String())
		}
	}
	p.logged("snapshot_taken")
}

// TestSecondTermDuringAStop guards against a repeated SIGTERM that cuts off the requests which a stop waits for.
func TestSecondTermDuringAStop(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			p.start()
			p.logged("listening")
			p.signal(syscall.SIGTERM)
			p.logged("stopping")
			_ = p.command.Process.Signal(syscall.SIGTERM) // fails if the stop is over
			select {
			case <-p.ended:
			case <-time.After(patience):
				t.Fatal("the process did not stop")
			}
			if !p.command.ProcessState.Success() || !strings.Contains(p.output.String(), `"event":"stopped"`) {
				t.Errorf("%s; output: %s", p.command.ProcessState, p.output.String())
			}
		})
	}
}

// TestStopWhileWaitingToStart: a process that waits for its port ends when it is told to stop, as by a planned stop.
func TestStopWhileWaitingToStart(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			p := newRole(t, role)
			holder, err := net.Listen("tcp", p.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = holder.Close() }()
			p.start()
			p.logged("listen_waiting")
			p.signal(syscall.SIGTERM)
			select {
			case <-p.ended:
			case <-time.After(patience):
				t.Fatal("the process did not stop")
			}
			if !p.command.ProcessState.Success() {
				t.Errorf("%s; output: %s", p.command.ProcessState, p.output.String())
			}
		})
	}
}

// TestInterruptDuringAStop: an operator at a terminal need not wait for a stop.
func TestInterruptDuringAStop(t *testing.T) {
	p := newRole(t, "gateway")
	p.writeSettings(p.text + "stop_timeout: 10m\nstop_notice: 9m\n")
	p.start()
	p.logged("listening")
	p.signal(syscall.SIGTERM)
	p.logged("stopping")
	p.signal(syscall.SIGINT)
	select {
	case <-p.ended:
	case <-time.After(patience):
		t.Fatal("SIGINT did not end the process")
	}
	status, ok := p.command.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || status.Signal() != syscall.SIGINT {
		t.Errorf("%s; output: %s", p.command.ProcessState, p.output.String())
	}
}

// TestStopBesideAnUnfinishedRequest guards against a planned stop that fails because of a request that never comes whole.
func TestStopBesideAnUnfinishedRequest(t *testing.T) {
	for _, length := range []int{100, 100_000} {
		t.Run(fmt.Sprintf("%d bytes", length), func(t *testing.T) {
			p := newRole(t, "gateway")
			p.writeSettings(p.text + "stop_timeout: 2s\nstop_notice: 100ms\n")
			p.start()
			p.answers(p.admin, "/health/live")
			connection, err := net.Dial("tcp", p.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			request := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-1))
			if _, err := io.WriteString(connection, request); err != nil {
				t.Fatal(err)
			}
			// The request must have arrived before the stop begins.
			time.Sleep(200 * time.Millisecond)
			p.signal(syscall.SIGTERM)
			answer, err := io.ReadAll(connection)
			if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503") && !strings.HasPrefix(string(answer), "HTTP/1.1 408") {
				t.Errorf("answer %q, %v", answer, err)
			}
			select {
			case <-p.ended:
			case <-time.After(patience):
				t.Fatal("the process did not stop")
			}
			if !p.command.ProcessState.Success() {
				t.Errorf("%s; output: %s", p.command.ProcessState, p.output.String())
			}
		})
	}
}

package crowd

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience is the timeout of each wait for a condition.
const patience = 40 * time.Second

// product is the path of the product, built once for all tests.
var product string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "thorntiller-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder
	product = filepath.Join(folder, "thorntiller")
	if output, err := exec.Command("go", "build", "-o", product, "../../cmd/thorntiller").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the product: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// machine is what a process may use.
type machine struct {
	memoryBytes int64
	descriptors int
}

// process is a process of the product with one role.
type process struct {
	t       *testing.T
	command *exec.Cmd
	ended   chan struct{}
	output  outputBuffer

	mutex           sync.Mutex
	mostDescriptors int
}

// outputBuffer keeps the first bytes that a process writes. It is safe for concurrent use.
type outputBuffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

const maxOutputBytes = 64 << 10

// Write implements io.Writer.
func (b *outputBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.bytes.Len() < maxOutputBytes {
		b.bytes.Write(data)
	}
	return len(data), nil
}

func (b *outputBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.String()
}

// startProcess starts a role with its settings. It is killed when the test ends.
func startProcess(t *testing.T, role, settings string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), role+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, command: exec.Command(product, role, "--config", path), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // the exit status is read from ProcessState
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // fails if the process has ended
		<-p.ended
	})
	go p.watchDescriptors()
	return p
}

// watchDescriptors records the largest number of open descriptors until the process ends.
func (p *process) watchDescriptors() {
	const interval = 50 * time.Millisecond
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(interval):
		}
		open, err := os.ReadDir(p.file("fd"))
		if err != nil {
			continue // the process has ended
		}
		p.mutex.Lock()
		p.mostDescriptors = max(p.mostDescriptors, len(open))
		p.mutex.Unlock()
	}
}

// file returns the path of a file about the process.
func (p *process) file(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

// memory returns a field of the process's status in bytes: VmRSS, the resident memory, or VmHWM, its peak.
func (p *process) memory(field string) (int64, error) {
	content, err := os.ReadFile(p.file("status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		name, value, _ := strings.Cut(line, ":")
		if name != field {
			continue
		}
		kibibytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kibibytes << 10, err
	}
	return 0, errors.New("no " + field)
}

func (p *process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// eventually waits for a condition. It fails if the process ends before.
func (p *process) eventually(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if !p.isRunning() {
			p.t.Fatalf("the process ended (%s) before: %s; output: %s", p.command.ProcessState, what, p.output.String())
		}
		if time.Now().After(end) {
			p.t.Fatalf("condition not met within %s: %s; output: %s", patience, what, p.output.String())
		}
	}
}

// listens waits until health checks are answered.
func (p *process) listens(adminAddress string) {
	p.t.Helper()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	p.eventually("health checks are answered", func() bool {
		response, err := client.Get("http://" + adminAddress + "/health/live")
		if err != nil {
			return false
		}
		_ = response.Body.Close() // only the answer counts
		return true
	})
}

// settles waits until the process has taken what a crowd has sent: its memory has not grown for a while, or the
// crowd has had its time.
func (p *process) settles() {
	const rest, longest = time.Second, 8 * time.Second
	began := time.Now()
	for peak, since := int64(0), began; time.Since(since) < rest && time.Since(began) < longest; time.Sleep(20 * time.Millisecond) {
		current, err := p.memory("VmHWM")
		if err != nil {
			return // the process has ended
		}
		if current > peak {
			peak, since = current, time.Now()
		}
	}
}

// staysWithin checks that the process lives and has stayed within its machine.
func (p *process) staysWithin(allowed machine) {
	p.t.Helper()
	if !p.isRunning() {
		p.t.Fatalf("the process ended: %s; output: %s", p.command.ProcessState, p.output.String())
	}
	peak, err := p.memory("VmHWM")
	if err != nil {
		p.t.Fatal(err)
	}
	p.mutex.Lock()
	descriptors := p.mostDescriptors
	p.mutex.Unlock()
	p.t.Logf("peak memory %.1f MB, %d descriptors", float64(peak)/1e6, descriptors)
	if peak > allowed.memoryBytes {
		p.t.Errorf("peak memory %.1f MB, %.1f are allowed", float64(peak)/1e6, float64(allowed.memoryBytes)/1e6)
	}
	if descriptors > allowed.descriptors {
		p.t.Errorf("%d open descriptors, %d are allowed", descriptors, allowed.descriptors)
	}
}

// outlasts plays a crowd and checks that the process outlasts it: it lives, it has stayed within its machine, and an
// ordinary request is answered afterwards.
func (p *process) outlasts(c *crowd, allowed machine, answersOrdinary func()) {
	p.t.Helper()
	c.arrive()
	p.settles()
	c.log()
	c.leave()
	answersOrdinary()
	p.staysWithin(allowed)
}

// servesBesideResting waits until an ordinary request is answered while more connections rest at an address than it has
// places for, and again afterwards.
func (p *process) servesBesideResting(address string, allowed machine, answersOrdinary func()) {
	p.t.Helper()
	c := newCrowd(p.t, address, restingClients, bodyShort(10_000))
	c.again = true
	c.arrive()
	answersOrdinary()
	c.leave()
	answersOrdinary()
	p.staysWithin(allowed)
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

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Sizes and times of the fleet. The bounds are those of the deployment spl-gateway.
const (
	controllerCount = 5
	keyCount        = 65536
	heartbeatMs     = 1300
	stopGrace       = 8 * time.Second
)

// fleet is a small deployment: controllers and gateways as separate processes, each on a loopback address of
// its own.
type fleet struct {
	program      string
	folder       string
	network      string
	controlPort  int
	internalPort int
	frontPort    int
	readyPort    int
	gatewayCount int
	controllers  []*process
	gateways     []*process
}

// process is one program of the project that this stand-in started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	// logFile receives what the process prints.
	logFile *os.File
}

// newFleet finds free ports and writes the settings of all processes.
func newFleet(program string, gatewayCount int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "thorntiller-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder, gatewayCount: gatewayCount}
	pid := os.Getpid()
	f.network = fmt.Sprintf("127.%d.%d", 64+(pid>>8)&0x3f, pid&0xff)
	for _, port := range []*int{&f.controlPort, &f.internalPort, &f.frontPort, &f.readyPort} {
		listener, err := net.Listen("tcp", net.JoinHostPort(f.machine(1), "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return f, nil
}

// machine returns the address of a machine: controllers have the numbers from 1, gateways those from 101.
func (f *fleet) machine(number int) string { return fmt.Sprintf("%s.%d", f.network, number) }

func (f *fleet) gatewayMachine(index int) string { return f.machine(101 + index) }

func (f *fleet) controlAddress(index int) string {
	return net.JoinHostPort(f.machine(1+index), strconv.Itoa(f.controlPort))
}

func (f *fleet) frontAddress(index int) string {
	return net.JoinHostPort(f.gatewayMachine(index), strconv.Itoa(f.frontPort))
}

func (f *fleet) readyAddress(index int) string {
	return net.JoinHostPort(f.gatewayMachine(index), strconv.Itoa(f.readyPort))
}

// zones are the zones of the deployment; all lie in one region.
var zones = []string{"hall-a", "hall-b", "hall-c"}

const region = "town"

// fields returns the values that the platform fills into a template for one machine.
func (f *fleet) fields(name, ip, zone, dataFolder string, descriptors int) map[string]string {
	return map[string]string{
		"nodeName": name, "zone": zone, "dataDir": dataFolder, "ip": ip, "bootstrap": "true",
		"listenAddrs.control":   net.JoinHostPort(ip, strconv.Itoa(f.controlPort)),
		"listenAddrs.front":     net.JoinHostPort(ip, strconv.Itoa(f.frontPort)),
		"listenAddrs.readiness": net.JoinHostPort(ip, strconv.Itoa(f.readyPort)),
		"internalPortRange.0":   strconv.Itoa(f.internalPort), "heartbeatMs": strconv.Itoa(heartbeatMs),
		"bounds.graceS": "6", "bounds.maxHoldMs": "10000", "bounds.addrReuseS": "2", "bounds.budgetSlack": "56",
		"limits.maxFds": strconv.Itoa(descriptors), "limits.linkMbps": "1000",
	}
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// fillTemplate fills the gaps of a template as the platform does.
func (f *fleet) fillTemplate(text string, fields map[string]string) string {
	seeds := []string{f.controlAddress(0), f.controlAddress(1), f.controlAddress(2)}
	text = section.ReplaceAllStringFunc(text, func(found string) string {
		parts := section.FindStringSubmatch(found)
		name, body := parts[1], parts[2]
		switch name {
		case "seedNodes":
			return fillList(body, seeds, seeds)
		case "zones":
			return fillList(body, zones, []string{region, region, region})
		}
		if value, given := fields[name]; given {
			return strings.ReplaceAll(body, "{{.}}", value)
		}
		return ""
	})
	return gap.ReplaceAllStringFunc(text, func(found string) string { return fields[strings.Trim(found, "{}")] })
}

func fillList(body string, keys, values []string) string {
	var filled strings.Builder
	for index, key := range keys {
		comma := ","
		if index == len(keys)-1 {
			comma = ""
		}
		filled.WriteString(strings.NewReplacer("{{.}}", values[index], "{{@}}", key, "{{,}}", comma).Replace(body))
	}
	return filled.String()
}

// startConfigured starts all controllers and gateways, and sends the first configuration until it is acknowledged.
func (f *fleet) startConfigured(ctx context.Context, items string) error {
	for index := range controllerCount {
		if err := f.startController(index); err != nil {
			return err
		}
	}
	for index := range f.gatewayCount {
		if err := f.startGateway(index); err != nil {
			return err
		}
	}
	return f.configure(ctx, items)
}

func (f *fleet) startController(index int) error {
	name := fmt.Sprintf("core-%d", index+1)
	data := filepath.Join(f.folder, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	fields := f.fields(name, f.machine(1+index), zones[index%len(zones)], data, 4096)
	started, err := f.startProcess("controller", name, "deploy/controller.yaml", fields)
	if err != nil {
		return err
	}
	f.controllers = append(f.controllers, started)
	return nil
}

func (f *fleet) startGateway(index int) error {
	name := fmt.Sprintf("front-%d", index+1)
	fields := f.fields(name, f.gatewayMachine(index), zones[index%len(zones)], "", 4100)
	started, err := f.startProcess("gateway", name, "deploy/gateway.yaml", fields)
	if err != nil {
		return err
	}
	f.gateways = append(f.gateways, started)
	return nil
}

// startProcess starts one role with the command of the deploy file.
func (f *fleet) startProcess(role, name, template string, fields map[string]string) (*process, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(f.folder, name+".yaml")
	if err := os.WriteFile(settings, []byte(f.fillTemplate(string(text), fields)), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(f.program, role, "--config", settings)
	command.Stdout, command.Stderr = logFile, logFile
	// A process does not outlive this stand-in.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, command: command, ended: make(chan struct{}), logFile: logFile}
	go func() {
		_ = command.Wait()
		close(started.ended)
		_ = logFile.Close()
	}()
	return started, nil
}

// signal sends a signal to the process.
func (p *process) signal(number syscall.Signal) { _ = p.command.Process.Signal(number) }

// stop ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) stop() {
	all := append(append([]*process{}, f.gateways...), f.controllers...)
	for _, each := range all {
		each.signal(syscall.SIGCONT)
		each.signal(syscall.SIGTERM)
	}
	end := time.After(stopGrace)
	for _, each := range all {
		select {
		case <-each.ended:
		case <-end:
			each.signal(syscall.SIGKILL)
			<-each.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// awaitReady waits until every gateway calls itself ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for index := range f.gatewayCount {
		for !isReady(f.readyAddress(index)) {
			select {
			case <-ctx.Done():
				return errors.New("a gateway did not become ready in time")
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

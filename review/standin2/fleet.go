// Package main holds the cases of the second review that are scripts: a small deployment of the
// project's own programs on loopback addresses, with stand-ins for clients, servers and the operator.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports are alike on all machines, as on the platform.
type ports struct{ control, peer, front, ready int }

// fleet is one deployment. Each machine has a loopback address of its own.
type fleet struct {
	program string
	folder  string
	network string
	ports   ports
	record  *record

	mutex sync.Mutex
	seeds []string
	// maxHoldMs is the bound of leases in the settings of the moment.
	maxHoldMs int
	machines  map[string]*machine
	next      int
}

// machine is one process of the system.
type machine struct {
	name, role, ip string
	zone           string
	command        *exec.Cmd
	ended          chan struct{}
}

func newFleet(program string, record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-fleet-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder, record: record, maxHoldMs: 10000, machines: make(map[string]*machine)}
	for range 200 {
		f.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		first := 11000 + 10*rand.IntN(1800)
		f.ports = ports{control: first, peer: first + 1, front: first + 2, ready: first + 3}
		if f.free() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free network")
}

// free reports whether no other run seems to use the network and the ports.
func (f *fleet) free() bool {
	for machine := 1; machine <= 12; machine++ {
		for _, port := range []int{f.ports.control, f.ports.peer, f.ports.front, f.ports.ready} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.network, machine, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// newIP returns the address of a further machine.
func (f *fleet) newIP() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.next++
	return fmt.Sprintf("%s.%d", f.network, f.next)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// zones are those of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// settings are laid out as the templates of the deploy file give them for a small deployment.
func (f *fleet) settings(m *machine, firstStart bool) []byte {
	var values map[string]any
	if m.role == "controller" {
		values = map[string]any{
			"role": "controller", "name": m.name, "zone": m.zone, "data_directory": filepath.Join(f.folder, m.name),
			"peer_address": address(m.ip, f.ports.peer), "api_address": address(m.ip, f.ports.control),
			"allow_non_loopback": true, "tls": map[string]any{"allow_plaintext": true}, "zones": zones, "seeds": f.seeds,
			"first_start": firstStart, "descriptor_limit": 4096, "api": map[string]any{"max_connections": 4096},
			"table":     map[string]any{"stream_limit": 4096},
			"heartbeat": map[string]any{"interval": heartbeatInterval.String(), "lease_limit": fmt.Sprintf("%dms", f.maxHoldMs), "address_reuse": "2s"}, "stop_timeout": "6s",
			"collector_percent": 40,
		}
	} else {
		regions := []map[string]string{}
		for _, zone := range zones {
			regions = append(regions, map[string]string{"zone": zone, "region": "region"})
		}
		values = map[string]any{
			"role": "gateway", "name": m.name, "zone": m.zone, "regions": regions, "dialect": "platform",
			"address": address(m.ip, f.ports.front), "admin_address": address(m.ip, f.ports.ready),
			"allow_non_loopback": true, "seeds": f.seeds, "controller_port": f.ports.peer, "peer_address": address(m.ip, f.ports.peer),
			"link_megabits": 1000.0, "keep_places": true, "descriptor_limit": 4096, "stop_timeout": "6s", "staleness_limit": "2000ms",
			"retry_slack": 62, "memory_limit_bytes": 284000000, "back_end": map[string]any{"answer_memory": 28400000}, "collector_percent": 40,
		}
	}
	text, err := json.MarshalIndent(values, "", " ")
	if err != nil {
		panic(err)
	}
	return text
}

// nameSeeds names the seeds in the settings of machines that start from now on.
func (f *fleet) nameSeeds(machines []*machine) {
	for _, seed := range machines {
		f.seeds = append(f.seeds, address(seed.ip, f.ports.control))
	}
}

// add makes a machine without starting it.
func (f *fleet) add(name, role string) *machine {
	m := &machine{name: name, role: role, ip: f.newIP()}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.zone = zones[len(f.machines)%len(zones)]
	f.machines[name] = m
	return m
}

// start runs the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine, firstStart bool) error {
	path := filepath.Join(f.folder, m.name+".json")
	if err := os.WriteFile(path, f.settings(m, firstStart), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(f.program, m.role, "--config", path) //nolint:gosec // the program under review
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	m.command, m.ended = command, make(chan struct{})
	f.record.note("start %s %s at %s, process %d", m.role, m.name, m.ip, command.Process.Pid)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(m.ended)
	}()
	return nil
}

// rewrite writes the settings of a running machine anew, and sends SIGHUP.
func (f *fleet) rewrite(m *machine) {
	if err := os.WriteFile(filepath.Join(f.folder, m.name+".json"), f.settings(m, true), 0o600); err == nil {
		f.signal(m, syscall.SIGHUP)
	}
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, signal syscall.Signal) {
	f.record.note("signal %s to %s", signal, m.name)
	_ = m.command.Process.Signal(signal)
}

// kill ends the process of a machine at once and waits for it.
func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.ended
}

// running reports whether the process of a machine runs.
func (m *machine) running() bool {
	if m.command == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.running() {
			_ = m.command.Process.Signal(syscall.SIGKILL)
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is given by run.sh
	return &record{file: file, began: time.Now()}, err
}

// note writes one line with the seconds since the start.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

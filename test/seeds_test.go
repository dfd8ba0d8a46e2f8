package test

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
)

// seededController returns a controller that finds its group by a seed. All controllers have the same ports, and each a
// loopback address of its own.
func seededController(t *testing.T, host, port, apiPort, seed string, firstStart bool) *roleProcess {
	t.Helper()
	p := newRole(t, "controller")
	p.text = fmt.Sprintf("role: controller\nname: %q\ndata_directory: %s\npeer_address: %s\napi_address: %s\nseeds: [%q]\nfirst_start: %t\n",
		host, p.dataFolder(), net.JoinHostPort(host, port), net.JoinHostPort(host, apiPort), net.JoinHostPort(seed, apiPort), firstStart)
	p.writeSettings(p.text)
	return p
}

// TestControllerJoinsBySeedsThatChanged guards against a controller that asks the seeds of its start without end, though
// they have been replaced.
func TestControllerJoinsBySeedsThatChanged(t *testing.T) {
	const founderHost, joinerHost, formerHost = "127.0.72.1", "127.0.72.2", "127.0.72.3"
	var ports []string
	for _, address := range freePorts(t, 2) {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, port)
	}
	founder := seededController(t, founderHost, ports[0], ports[1], founderHost, true)
	founder.start()
	founder.logged("leader_elected")
	joiner := seededController(t, joinerHost, ports[0], ports[1], formerHost, false)
	joiner.start()
	joiner.logged("listening")
	joiner.writeSettings(strings.ReplaceAll(joiner.text, formerHost, founderHost))
	joiner.signal(syscall.SIGHUP)
	joiner.logged("group_joined")
}

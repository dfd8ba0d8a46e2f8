package controller

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/authority"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// seedCount is the number of machines that are seeds, which form the group.
const seedCount = 3

// machineAddress returns a loopback address for each machine that is specific to this process, so that all
// machines can use the same port.
func machineAddress(number int) string {
	return net.IPv4(127, byte(128+os.Getpid()>>15&0x7f), byte(os.Getpid()>>7), byte(number+10*(os.Getpid()&0xf))).String()
}

// newSeededGroup starts controllers that know only the seeds.
func newSeededGroup(t *testing.T, size int) *group {
	t.Helper()
	g := &group{t: t}
	var ports [2]int
	for index := range ports {
		listener, err := net.Listen("tcp", net.JoinHostPort(machineAddress(1), "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		ports[index] = listener.Addr().(*net.TCPAddr).Port
	}
	address := func(number, port int) string { return net.JoinHostPort(machineAddress(number), strconv.Itoa(port)) }
	var endpoints, seeds []string
	for number := 1; number <= size; number++ {
		endpoints = append(endpoints, address(number, ports[1]))
	}
	seeds = endpoints[:seedCount]
	for number := 1; number <= size; number++ {
		settings := config.DefaultController()
		settings.Name = fmt.Sprintf("c%d", number)
		settings.PeerAddress, settings.APIAddress = address(number, ports[0]), endpoints[number-1]
		settings.Seeds = seeds
		settings.FirstStart = true
		settings.DataDirectory = filepath.Join(t.TempDir(), settings.Name)
		g.processes = append(g.processes, &process{settings: settings, files: vfs.System{}})
	}
	g.connect(endpoints)
	return g
}

// enableTLS issues a certificate with an organizational unit to each controller, and one to the client.
func (g *group) enableTLS(unit func(name string) string) {
	g.t.Helper()
	issuer, err := authority.New(g.t.TempDir(), "authority")
	must(g.t, err)
	for _, each := range g.processes {
		host, _, err := net.SplitHostPort(each.settings.PeerAddress)
		must(g.t, err)
		files, err := issuer.IssueTo(authority.Holder{Name: each.settings.Name, Unit: unit(each.settings.Name), Addresses: []net.IP{net.ParseIP(host)}})
		must(g.t, err)
		each.settings.TLS.Certificate, each.settings.TLS.Key, each.settings.TLS.Authority = files.Certificate, files.Key, files.Authority
	}
	files, err := issuer.Issue("operator")
	must(g.t, err)
	store, err := certificate.OpenIfNamed(files)
	must(g.t, err)
	var endpoints []string
	for _, each := range g.processes {
		endpoints = append(endpoints, each.settings.APIAddress)
	}
	g.client.Close()
	g.client, err = intentapi.NewClient(intentapi.ClientConfig{Endpoints: endpoints, Certificates: store})
	must(g.t, err)
}

// TestGroupBySeedsWithCertificates guards against controllers that find each other by seeds but reject each
// other because no settings list their names. A process whose certificate is not that of a controller must
// stay out.
func TestGroupBySeedsWithCertificates(t *testing.T) {
	const size, stranger = 4, "c4"
	g := newSeededGroup(t, size)
	g.enableTLS(func(name string) string {
		if name == stranger {
			return ""
		}
		return config.DefaultController().ControllerUnit
	})
	for number := range g.processes {
		g.start(number)
	}
	g.wantVoters("c1", "c2", "c3")
	time.Sleep(2 * time.Second)
	g.wantVoters("c1", "c2", "c3")
}

func voterNames(members []consensus.Member) []string {
	var names []string
	for _, member := range members {
		if !member.Learner {
			names = append(names, member.Name)
		}
	}
	slices.Sort(names)
	return names
}

// wantVoters waits until the voting members have the given names.
func (g *group) wantVoters(names ...string) {
	g.t.Helper()
	g.eventually(fmt.Sprint("voters ", names), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		members, err := g.client.Members(ctx)
		return err == nil && slices.Equal(voterNames(members), names)
	})
}

// TestGroupBySeeds: three seeds form a group, which the other machines join. While a machine leads that is not
// a founder, a controller that lost its disk takes its former place again, and an empty one at another address
// takes that of a machine that is gone. The former used to wait forever: it knew only the founders and could
// not answer the leader.
func TestGroupBySeeds(t *testing.T) {
	const size = 6
	g := newSeededGroup(t, size)
	for number := range size - 1 {
		g.start(number)
	}
	g.wantVoters("c1", "c2", "c3", "c4", "c5")
	for number := range g.processes {
		g.processes[number].settings.FirstStart = false
	}
	g.moveLeadershipBeyondSeeds()
	g.stop(0)
	if err := os.RemoveAll(g.processes[0].settings.DataDirectory); err != nil {
		t.Fatal(err)
	}
	before := g.memberID("c1")
	g.start(0)
	g.eventually("c1 has a vote under a new identifier", func() bool {
		id := g.memberID("c1")
		return id != 0 && id != before
	})
	g.wantVoters("c1", "c2", "c3", "c4", "c5")

	g.stop(1)
	g.start(size - 1)
	g.wantVoters("c1", "c3", "c4", "c5", "c6")
}

// moveLeadershipBeyondSeeds makes a machine lead that is not a founder. A transfer goes to the first of those
// with the longest log, which may be the same two founders forever; so founders that lead are stopped, and the
// remaining one transfers to the others.
func (g *group) moveLeadershipBeyondSeeds() {
	g.t.Helper()
	var stopped []int
	for leader := g.leader(); leader < seedCount && len(stopped) < seedCount-1; leader = g.leader() {
		g.stop(leader)
		stopped = append(stopped, leader)
	}
	g.eventually("a machine leads that is not a founder", func() bool {
		if g.leader() >= seedCount {
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = g.client.Transfer(ctx) // repeated by eventually
		return false
	})
	for _, number := range stopped {
		g.start(number)
	}
	g.waitCaughtUp()
}

// memberID returns the identifier of the voter with a name, or zero.
func (g *group) memberID(name string) consensus.ReplicaID {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	members, err := g.client.Members(ctx)
	if err != nil {
		return 0
	}
	for _, member := range members {
		if member.Name == name && !member.Learner {
			return member.ID
		}
	}
	return 0
}

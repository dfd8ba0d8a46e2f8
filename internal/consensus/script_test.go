package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestScripts runs the scripts in testdata. A script consists of blocks separated
// by empty lines: commands, a line "----" and the expected output.
// UPDATE_SCRIPTS=1 rewrites the expected output.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { runScript(t, path) })
	}
}

func runScript(t *testing.T, path string) {
	text, err := os.ReadFile(path) //nolint:gosec // the path comes from the test's own glob
	if err != nil {
		t.Fatal(err)
	}
	var c *cluster
	var actual []string
	for block := range strings.SplitSeq(strings.TrimSpace(string(text)), "\n\n") {
		commands, _, _ := strings.Cut(block, "\n----")
		for line := range strings.SplitSeq(commands, "\n") {
			if strings.HasPrefix(line, "#") {
				continue
			}
			if count, found := strings.CutPrefix(line, "cluster "); found {
				c = newCluster(int(number(t, count)))
				continue
			}
			if err := c.execute(t, strings.Fields(line)); err != nil {
				fmt.Fprintf(&c.output, "%s: %v\n", line, err)
			}
		}
		c.checker.verify(t)
		actual = append(actual, strings.TrimSpace(commands+"\n----\n"+c.output.String()))
		c.output.Reset()
	}
	result := strings.Join(actual, "\n\n") + "\n"
	if os.Getenv("UPDATE_SCRIPTS") != "" {
		if err := os.WriteFile(path, []byte(result), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if result != string(text) {
		t.Fatalf("expected:\n%s\nactual:\n%s", text, result)
	}
}

func number(t *testing.T, text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// execute runs one command. Only deliver, step and campaign deliver messages.
func (c *cluster) execute(t *testing.T, words []string) error {
	first, second := uint64(0), uint64(0)
	if len(words) > 1 {
		first = number(t, words[1])
	}
	if len(words) > 2 && words[0] != "propose" {
		second = number(t, words[2])
	}
	if c.executeControl(words[0], first, second) {
		return nil
	}
	core := c.replicas[ReplicaID(first)].core
	change := MembershipChange{Member: Member{ID: ReplicaID(second)}}
	switch words[0] {
	case "propose":
		return core.Propose([]byte(words[2]))
	case "compact":
		return c.compact(ReplicaID(first))
	case "add":
		change.Kind = AddLearner
		return core.ProposeMembership(change)
	case "promote":
		change.Kind = PromoteLearner
		return core.ProposeMembership(change)
	case "remove":
		change.Kind = RemoveMember
		return core.ProposeMembership(change)
	case "transfer":
		return core.TransferLeadership(ReplicaID(second))
	case "read":
		c.checker.reads[second] = c.checker.maxCommit
		return core.ReadIndex(second)
	}
	t.Fatalf("unknown command %q", words[0])
	return nil
}

// executeControl runs a command that acts on the network, or on a replica's
// process or clock. It returns false for other commands.
func (c *cluster) executeControl(name string, first, second uint64) bool {
	id := ReplicaID(first)
	switch name {
	case "deliver":
		c.deliver()
	case "step":
		c.deliverSome(int(first))
	case "lose":
		c.network = nil
	case "age":
		c.expireLeaderContact()
	case "status":
		c.printStatus()
	case "quiet":
		status := c.replicas[id].core.Status()
		fmt.Fprintf(&c.output, "%d leads=%v term=%d quiet=%v\n", id, status.Role == RoleLeader, status.Term, status.QuietBeforeElection)
	case "tick":
		c.tick(id, int(second))
	case "campaign":
		c.campaign(id)
	case "elect":
		c.replicas[id].core.startElection(false)
	case "cut", "heal":
		for _, other := range c.ids {
			c.setCut(id, other, name == "cut")
		}
	case "drop":
		c.setCut(id, ReplicaID(second), true)
	case "crash":
		c.replicas[id].core = nil
	case "restart":
		c.restart(id)
	case "start":
		c.start(id, SnapshotMetadata{})
	default:
		return false
	}
	return true
}

func (c *cluster) setCut(a, b ReplicaID, cut bool) {
	c.cut[[2]ReplicaID{a, b}] = cut
	c.cut[[2]ReplicaID{b, a}] = cut
}

func (c *cluster) tick(id ReplicaID, count int) {
	for range count {
		c.replicas[id].core.Tick()
		c.run(id)
	}
}

// expireLeaderContact lets the election timeout pass on all followers, during which
// they ignore vote requests since they heard from a leader.
func (c *cluster) expireLeaderContact() {
	for _, r := range c.replicas {
		if r.core != nil && r.core.role != RoleLeader {
			r.core.electionElapsed = r.core.config.ElectionTicks
		}
	}
}

// campaign lets a replica's election timeout expire, then delivers all messages.
func (c *cluster) campaign(id ReplicaID) {
	core := c.replicas[id].core
	core.electionElapsed = core.electionTimeout
	c.tick(id, 1)
	c.deliver()
}

func (c *cluster) printStatus() {
	for _, id := range c.ids {
		r := c.replicas[id]
		if r.core == nil {
			fmt.Fprintf(&c.output, "%d crashed\n", id)
			continue
		}
		status := r.core.Status()
		names := []string{"follower", "pre-candidate", "candidate", "leader", "learner"}
		fmt.Fprintf(&c.output, "%d %s term=%d leader=%d log=%d-%d@%d commit=%d members=%s state=%v\n",
			id, names[status.Role], status.Term, status.Leader, status.FirstIndex, status.LastIndex,
			r.core.log.lastTerm(), status.Commit, printMembers(status.Membership), r.state)
	}
}

func printMembers(membership Membership) string {
	names := make([]string, 0, len(membership.Members))
	for _, member := range membership.Members {
		name := strconv.FormatUint(uint64(member.ID), 10)
		if member.Learner {
			name += "L"
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}

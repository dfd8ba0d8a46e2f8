package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestScripts runs the text scripts: blocks of commands, a line "----" and the
// expected output, separated by empty lines. UPDATE_SCRIPTS=1 rewrites them.
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
	text, err := os.ReadFile(path) //nolint:gosec // a path from the test's own glob
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
		actual = append(actual, commands+"\n----\n"+strings.TrimSpace(c.output.String()))
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

// execute runs one command; most end by delivering nothing, so that a script
// shows each exchange with "deliver".
func (c *cluster) execute(t *testing.T, words []string) error {
	name, arguments := words[0], words[1:]
	id := ReplicaID(0)
	if len(arguments) > 0 {
		id = ReplicaID(number(t, arguments[0]))
	}
	second := func() ReplicaID { return ReplicaID(number(t, arguments[1])) }
	change := func(kind ChangeKind) error {
		return c.replicas[id].core.ProposeMembership(MembershipChange{Kind: kind, Member: Member{ID: second()}})
	}
	switch name {
	case "deliver":
		c.deliver()
	case "status":
		c.printStatus()
	case "tick":
		c.tick(id, int(second()))
	case "campaign":
		c.campaign(id)
	case "propose":
		return c.replicas[id].core.Propose([]byte(arguments[1]))
	case "cut", "heal":
		for _, other := range c.ids {
			c.cut[[2]ReplicaID{id, other}] = name == "cut"
			c.cut[[2]ReplicaID{other, id}] = name == "cut"
		}
	case "drop", "join":
		c.cut[[2]ReplicaID{id, second()}] = name == "drop"
		c.cut[[2]ReplicaID{second(), id}] = name == "drop"
	case "crash":
		c.replicas[id].core = nil
	case "restart":
		c.restart(id)
	case "start":
		c.start(id, SnapshotMetadata{})
	case "compact":
		return c.compact(id)
	case "add":
		return change(AddLearner)
	case "promote":
		return change(PromoteLearner)
	case "remove":
		return change(RemoveMember)
	case "transfer":
		return c.replicas[id].core.TransferLeadership(second())
	case "read":
		c.checker.reads[number(t, arguments[1])] = c.checker.maxCommit
		return c.replicas[id].core.ReadIndex(number(t, arguments[1]))
	default:
		t.Fatalf("unknown command %q", name)
	}
	return nil
}

func (c *cluster) tick(id ReplicaID, count int) {
	for range count {
		c.replicas[id].core.Tick()
		c.run(id)
	}
}

// campaign ticks a replica until its election timeout ends, then delivers.
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
		fmt.Fprintf(&c.output, "%d %s term=%d leader=%d log=%d-%d commit=%d members=%s state=%v\n",
			id, names[status.Role], status.Term, status.Leader, status.FirstIndex, status.LastIndex,
			status.Commit, printMembers(status.Membership), r.state)
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

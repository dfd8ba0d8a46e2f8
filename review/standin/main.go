// Command standin plays one case of the review: it starts the project's programs as separate processes, plays
// clients, servers and the operator of the platform, and checks a rule of the platform by what these see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

// playFunc plays a case. It reports whether the rule was broken.
type playFunc func(ctx context.Context, record *recorder, program string, trouble bool) (bool, error)

var cases = map[string]playFunc{
	"surplus":   surplusAnswers,
	"takeover":  lateHeartbeats,
	"newleader": newLeader,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/thorntiller", "the project's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	record, err := newRecorder(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	broken, err := play(ctx, record, *program, *trouble)
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		record.say("the rule was BROKEN")
		return exitBroken
	default:
		record.say("the rule was kept")
		return exitHeld
	}
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	caseNotRun = 2
)

// Arguments of the program.
const (
	caseArgument = 1 + iota
	recordArgument
	troubleArgument
)

// cases are the scripts of the review by name. trouble is false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) int{
	"seed-lost":     seedLost,
	"lease-lowered": leaseLowered,
	"limit-raised":  limitRaised,
	"trailer-taken": trailerTaken,
}

func main() {
	if len(os.Args) <= troubleArgument || cases[os.Args[caseArgument]] == nil {
		fmt.Println("usage: review-standin2 CASE RECORD-FILE TROUBLE; TROUBLE is 0 for a run without the disruption, else 1")
		os.Exit(caseNotRun)
	}
	os.Exit(run(cases[os.Args[caseArgument]], os.Args[recordArgument], os.Args[troubleArgument] != "0"))
}

// run plays a case on a fleet of its own, and writes its record to a path.
func run(play func(*fleet, bool) int, path string, trouble bool) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return caseNotRun
	}
	f, err := newFleet("target/thorntiller", record)
	if err != nil {
		fmt.Println(err)
		return caseNotRun
	}
	defer f.close()
	return play(f, trouble)
}

// notRun reports why a case could not be played.
func notRun(why any) int {
	fmt.Println(why)
	return caseNotRun
}

// deployment starts a whole small deployment: five controllers, three of them seeds, and some gateways.
func deployment(f *fleet, gateways int) (controllers, fronts []*machine, err error) {
	for index := range 5 {
		controllers = append(controllers, f.add(fmt.Sprintf("core-%d", index+1), "controller"))
	}
	for index := range gateways {
		fronts = append(fronts, f.add(fmt.Sprintf("front-%d", index+1), "gateway"))
	}
	f.nameSeeds(controllers[:3])
	for _, m := range append(append([]*machine{}, controllers...), fronts...) {
		if err := f.start(m, true); err != nil {
			return nil, nil, err
		}
	}
	return controllers, fronts, nil
}

// controlAddresses returns the addresses for heartbeats and orders.
func controlAddresses(f *fleet, controllers []*machine) []string {
	var all []string
	for _, m := range controllers {
		all = append(all, address(m.ip, f.ports.control))
	}
	return all
}

// leader returns the controller that leads: it alone answers a read of the items by itself.
func leader(f *fleet, controllers []*machine) *machine {
	noRedirect := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, m := range controllers {
		if !m.running() {
			continue
		}
		answer, err := noRedirect.Post("http://"+address(m.ip, f.ports.control)+"/v1/items/read", "application/json", strings.NewReader(""))
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return m
		}
	}
	return nil
}

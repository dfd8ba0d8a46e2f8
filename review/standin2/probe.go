package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// deployment starts a whole small deployment: five controllers and some gateways.
func deployment(f *fleet, gateways int) (controllers, fronts []*machine, err error) {
	for index := range 5 {
		controllers = append(controllers, f.add(fmt.Sprintf("core-%d", index+1), "controller"))
	}
	for index := range gateways {
		fronts = append(fronts, f.add(fmt.Sprintf("front-%d", index+1), "gateway"))
	}
	for _, seed := range controllers[:3] {
		f.seeds = append(f.seeds, address(seed.ip, f.ports.control))
	}
	for _, m := range append(append([]*machine{}, controllers...), fronts...) {
		if err := f.start(m, true); err != nil {
			return nil, nil, err
		}
	}
	return controllers, fronts, nil
}

func controlAddresses(f *fleet, controllers []*machine) string {
	var all []string
	for _, m := range controllers {
		all = append(all, address(m.ip, f.ports.control))
	}
	return strings.Join(all, ",")
}

// awaitReady waits until a gateway calls itself ready.
func awaitReady(f *fleet, m *machine, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := httpClient.Get("http://" + address(m.ip, f.ports.ready) + "/health/ready")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: fleet2 CASE RECORD")
		os.Exit(2)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	f, err := newFleet("target/thorntiller", record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	code := run(os.Args[1], f, os.Getenv("TROUBLE") != "0")
	f.close()
	os.Exit(code)
}

func run(name string, f *fleet, trouble bool) int {
	switch name {
	case "http":
		return probeHTTP(f)
	case "fuzz":
		return probeFuzz(f)
	case "idle":
		return probeIdle(f)
	case "chaos":
		return startupChaos(f)
	case "seed":
		return seedLost(f, trouble)
	}
	fmt.Println("no case", name)
	return 2
}

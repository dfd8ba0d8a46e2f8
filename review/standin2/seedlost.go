package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends single tries on new connections and counts their ends.
type client struct {
	fleet *fleet
	sent  int
	ends  map[string]int
}

func newClient(f *fleet) *client { return &client{fleet: f, ends: make(map[string]int)} }

// try sends one request to a gateway and returns the status of the answer and its body; zero for none.
func (c *client) try(front *machine, method, path, id string, header string) (int, string) {
	c.sent++
	status, body := c.exchange(front, method, path, id, header)
	c.fleet.record.note("client %s %s %s at %s: %d %.60q", id, method, path, front.name, status, body)
	c.ends[fmt.Sprint(status)]++
	return status, body
}

func (c *client) exchange(front *machine, method, path, id string, header string) (int, string) {
	connection, err := net.DialTimeout("tcp", address(front.ip, c.fleet.ports.front), time.Second)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(3 * time.Second))
	text := method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: " + id +
		"\r\nThorntiller-Request-Deadline: 2000\r\n" + header + "Content-Length: 0\r\n\r\n"
	if _, err := io.WriteString(connection, text); err != nil {
		return 0, ""
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(body)
}

const (
	// startSpread is within the 0.3 s within which all machines start.
	startSpread = 250 * time.Millisecond
	// seedLostAt is when the seed is lost, after its own start and before the start of the last machine.
	seedLostAt = 200 * time.Millisecond
	// replacedAfter is when an empty machine comes in place of the lost one.
	replacedAfter = time.Second
	// seedTraffic is how long clients send: many times recoveryS, which is 15 s.
	seedTraffic = 75 * time.Second
)

// seedLost is the case of a core machine that is lost for good while the whole system starts for the first
// time. An empty machine takes its place.
func seedLost(f *fleet, trouble bool) int {
	var controllers []*machine
	for index := range 5 {
		controllers = append(controllers, f.add(fmt.Sprintf("core-%d", index+1), "controller"))
	}
	fronts := []*machine{f.add("front-1", "gateway"), f.add("front-2", "gateway")}
	f.nameSeeds(controllers[:3])
	lost, last := controllers[1], controllers[2]
	for _, m := range append([]*machine{lost, controllers[0], controllers[3], controllers[4]}, fronts...) {
		if err := f.start(m, true); err != nil {
			return notRun(err)
		}
	}
	time.Sleep(seedLostAt)
	if trouble {
		f.kill(lost)
	}
	time.Sleep(startSpread - seedLostAt)
	if err := f.start(last, true); err != nil {
		return notRun(err)
	}
	began := time.Now()
	if trouble {
		time.Sleep(replacedAfter)
		controllers[1] = f.add("core-6", "controller")
		f.replaceSeed(lost, controllers[1])
		if err := f.start(controllers[1], false); err != nil {
			return notRun(err)
		}
	}
	op := &operator{fleet: f, nodes: func() []*machine { return controllers }}
	go op.order("/v1/items", items([]map[string]any{route("r", "a.example", "/a/", "at_most_once", "s", 7)},
		[]map[string]any{service("s", false, 7)}), seedTraffic)
	for index := range 2 {
		if _, err := newServer(f, fmt.Sprintf("i-%d", index+1), "s", f.newIP(), controlAddresses(f, controllers), answerOK); err != nil {
			return notRun(err)
		}
	}
	users, served := newClient(f), 0
	for time.Since(began) < seedTraffic && served < 20 {
		status, _ := users.try(fronts[users.sent%2], "POST", "/a/x", fmt.Sprintf("%08x", users.sent+1), "")
		if status == http.StatusOK {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, m := range append(append([]*machine{}, controllers...), fronts...) {
		f.record.note("%s runs: %v", m.name, m.running())
	}
	f.record.note("%d requests sent, %d served, ends %v, %.1f s", users.sent, served, users.ends, time.Since(began).Seconds())
	fmt.Printf("%d requests sent, %d served, ends by status %v, in %.1f s\n", users.sent, served, users.ends, time.Since(began).Seconds())
	if served == 0 {
		fmt.Println("Fault: no request is served")
		return ruleBroken
	}
	return ruleHeld
}

// replaceSeed names another seed in the settings of all machines, and tells them by SIGHUP.
func (f *fleet) replaceSeed(former, next *machine) {
	for index, seed := range f.seeds {
		if seed == address(former.ip, f.ports.control) {
			f.seeds[index] = address(next.ip, f.ports.control)
		}
	}
	f.record.note("the seeds are %v", f.seeds)
	for _, m := range f.machines {
		if m.running() {
			f.rewrite(m)
		}
	}
}

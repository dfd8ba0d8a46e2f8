package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// headerBytes is what a client's header takes: more than the first limit and less than the second.
	headerBytes   = 24 << 10
	raisedLimit   = 64 << 10
	limitRequests = 40
	// configApply is configApplyMs, and contact contactMs, after which all machines are in touch.
	configApply = 2 * time.Second
	contact     = 3 * time.Second
)

// limitRaised is the case of an operator who raises the limit of headers: from configApplyMs after the
// acknowledgement on, requests within the new limit are proper.
func limitRaised(f *fleet, trouble bool) int {
	controllers, fronts, err := deployment(f, 2)
	if err != nil {
		return notRun(err)
	}
	op := &operator{fleet: f, nodes: func() []*machine { return controllers }}
	first := items([]map[string]any{route("r", "a.example", "/a/", "repeatable", "s", 7)}, []map[string]any{service("s", false, 7)})
	if status, _ := op.order("/v1/items", first, 40*time.Second); status != http.StatusOK {
		return notRun("the first configuration was not taken")
	}
	if _, err := newServer(f, "i-1", "s", f.newIP(), controlAddresses(f, controllers), answerOK); err != nil {
		return notRun(err)
	}
	users := newClient(f)
	if !users.awaitService(fronts, 40*time.Second) {
		return notRun("no request is served")
	}
	header := ""
	if trouble {
		change := map[string]any{"set": map[string]any{"limits": map[string]any{
			"max_header_bytes": raisedLimit, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "version": 9}}}
		if status, _ := op.order("/v1/items", change, 40*time.Second); status != http.StatusOK {
			return notRun("the raised limit was not taken")
		}
		_, read := op.order("/v1/items/read", map[string]any{}, 10*time.Second)
		f.record.note("read back: %s", read)
		header = "X-Padding: " + strings.Repeat("x", headerBytes) + "\r\n"
	}
	time.Sleep(configApply + contact)
	users.ends = make(map[string]int)
	for index := range limitRequests {
		users.try(fronts[index%len(fronts)], "GET", "/a/x", fmt.Sprintf("%08x", 1000+index), header)
		time.Sleep(20 * time.Millisecond)
	}
	refused := 0
	for status, count := range users.ends {
		if strings.HasPrefix(status, "4") {
			refused += count
		}
	}
	f.record.note("%d requests, ends by status %v", limitRequests, users.ends)
	fmt.Printf("%d requests, ends by status %v\n", limitRequests, users.ends)
	const allowed = 5
	if refused > allowed+users.sent/500 {
		fmt.Println("CONFIG, DENIED: proper requests are refused by the limit of an older version")
		return ruleBroken
	}
	return ruleHeld
}

// awaitService sends requests until each gateway has served one.
func (c *client) awaitService(fronts []*machine, within time.Duration) bool {
	served := make(map[*machine]bool)
	for end := time.Now().Add(within); time.Now().Before(end) && len(served) < len(fronts); time.Sleep(100 * time.Millisecond) {
		for _, front := range fronts {
			if status, _ := c.try(front, "GET", "/a/x", fmt.Sprintf("%08x", c.sent+1), ""); status == http.StatusOK {
				served[front] = true
			}
		}
	}
	return len(served) == len(fronts)
}

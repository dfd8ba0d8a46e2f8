package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

func probeIdle(f *fleet) int {
	controllers, fronts, err := deployment(f, 2)
	if err != nil {
		return 2
	}
	op := &operator{fleet: f, nodes: func() []*machine { return controllers }}
	status, _ := op.order("/v1/items", items([]map[string]any{route("r", "a.example", "/a/", "at_most_once", "s", 7)}, []map[string]any{service("s", false, 7)}), 20*time.Second)
	fmt.Println("items", status)
	try := func(name, target, text string, chunks int) {
		connection, err := net.Dial("tcp", target)
		if err != nil {
			fmt.Println(name, err)
			return
		}
		began := time.Now()
		if text != "" {
			_, _ = io.WriteString(connection, text)
			time.Sleep(500 * time.Millisecond)
			buffer := make([]byte, 4096)
			count, _ := connection.Read(buffer)
			fmt.Printf("%s first answer: %.40q\n", name, buffer[:count])
		}
		_ = connection.SetReadDeadline(time.Now().Add(40 * time.Second))
		all, err := io.ReadAll(connection)
		fmt.Printf("%s after %.2f s: %q %v\n", name, time.Since(began).Seconds(), all, err)
	}
	done := make(chan bool)
	core := address(controllers[0].ip, f.ports.control)
	front := address(fronts[0].ip, f.ports.front)
	read := "POST /v1/items/read HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	for _, each := range []struct{ name, target, text string }{
		{"core new", core, ""}, {"core kept", core, read}, {"core partial", core, read + "POST /v1/it"},
		{"front new", front, ""}, {"front kept", front, "GET /zz HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: 1\r\n\r\n"},
	} {
		go func() { try(each.name, each.target, each.text, 1); done <- true }()
	}
	for range 5 {
		<-done
	}
	return 0
}

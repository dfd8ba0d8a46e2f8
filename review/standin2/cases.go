package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

func probeHTTP(f *fleet) int {
	controllers, fronts, err := deployment(f, 2)
	if err != nil {
		return 2
	}
	op := &operator{fleet: f, nodes: func() []*machine { return controllers }}
	status, _ := op.order("/v1/items", items([]map[string]any{route("r", "a.example", "/a/", "at_most_once", "s", 7), route("i", "a.example", "/i/", "repeatable", "s", 7)}, []map[string]any{service("s", false, 7)}), 20*time.Second)
	fmt.Println("items", status)
	s, err := newServer(f, "i-1", "s", f.newIP(), controlAddresses(f, controllers), answerOK)
	if err != nil {
		return 2
	}
	time.Sleep(time.Second)
	fmt.Println("ready", awaitReady(f, fronts[0], 5*time.Second))
	for index, text := range []string{
		"GET /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nContent-Length: 5\r\n\r\nhello" + "GET /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"GET /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + "GET /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"POST /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: v\r\n\r\n" + "GET /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"DELETE /a/x?q=1&q=%%2F HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nContent-Length: 5\r\n\r\nhello" + "GET /a//../y/%%zz HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"HEAD /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\n\r\n" + "GET /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"OPTIONS /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nContent-Length: 5\r\n\r\nhello" + "PURGE /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 9\r\n\r\na=b&c=%%20" + "GET /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"POST /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: 5\r\n\r\nhello" + "GET /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"POST /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello" + "GET /a/y HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
		"POST /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %[1]sa\r\nThorntiller-Request-Deadline: 1000\r\nContent-Length: 0\r\n\r\n" + "POST /a/y HTTP/1.1\r\nHost: A.EXAMPLE:80\r\nThorntiller-Attempt-Id: %[1]sb\r\nThorntiller-Request-Deadline: 1000\r\n\r\n",
	} {
		id := fmt.Sprintf("%04x", index)
		connection, err := net.Dial("tcp", address(fronts[0].ip, f.ports.front))
		if err != nil {
			return 2
		}
		_, _ = fmt.Fprintf(connection, text, id)
		_ = connection.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		all, _ := io.ReadAll(bufio.NewReader(connection))
		fmt.Printf("--- %d\n%s\n", index, all)
		_ = connection.Close()
	}
	for id, count := range s.runs() {
		fmt.Println(id, count)
	}
	return 0
}

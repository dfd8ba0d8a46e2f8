package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"time"
)

func mutate(random *rand.Rand, text []byte) []byte {
	text = bytes.Clone(text)
	tokens := []string{"\r\n", "\n", "\x00", ":", " ", "0", "-1", "99999999999999999999", "chunked", "Transfer-Encoding: chunked\r\n", "Content-Length: 3\r\n", "Connection: close\r\n", "Connection: keep-alive, Host\r\n", "Expect: 100-continue\r\n", "\t", ",", ";", "HTTP/1.0", "HTTP/1.1 100 Continue\r\n\r\n", "Keep-Alive: timeout=0\r\n", "Thorntiller-Not-Executed: 1\r\n", "ffffffffffffffff\r\n", "5;x=y\r\n", "Thorntiller-Shard-Key: 70000\r\n", "Thorntiller-Request-Deadline: NaN\r\n", "Thorntiller-Request-Deadline: 1e300\r\n", "Thorntiller-Request-Deadline: Inf\r\n", "Host: \r\n", "Server-Leaving: 1\r\n", "Server-Limit: 1e9\r\n", "Retry-After: -1\r\n", "Retry-After: NaN\r\n"}
	for range 1 + random.IntN(3) {
		if len(text) == 0 {
			break
		}
		at := random.IntN(len(text))
		switch random.IntN(5) {
		case 0:
			text[at] ^= 1 << random.IntN(8)
		case 1:
			text = append(text[:at:at], append([]byte(tokens[random.IntN(len(tokens))]), text[at:]...)...)
		case 2:
			text = text[:at]
		case 3:
			end := min(len(text), at+1+random.IntN(20))
			text = append(text[:at:at], text[end:]...)
		case 4:
			if index := bytes.Index(text[at:], []byte("\r\n")); index >= 0 {
				at += index + 2
				text = append(text[:at:at], append([]byte(tokens[random.IntN(len(tokens))]), text[at:]...)...)
			}
		}
	}
	return text
}

func probeFuzz(f *fleet) int {
	random := rand.New(rand.NewPCG(7, 1))
	controllers, fronts, err := deployment(f, 2)
	if err != nil {
		return 2
	}
	op := &operator{fleet: f, nodes: func() []*machine { return controllers }}
	status, _ := op.order("/v1/items", items([]map[string]any{route("r", "a.example", "/a/", "at_most_once", "s", 7), route("i", "a.example", "/i/", "repeatable", "s", 7)}, []map[string]any{service("s", false, 7)}), 20*time.Second)
	fmt.Println("items", status)
	answerFuzz := func(s *server, r *http.Request, body []byte, connection net.Conn) bool {
		id := r.Header.Get("Thorntiller-Attempt-Id")
		templates := []string{
			"HTTP/1.1 200 OK\r\nThorntiller-Attempt-Id: " + id + "\r\nThorntiller-Server-Seal: x\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nThorntiller-Attempt-Id: " + id + "\r\nThorntiller-Server-Seal: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: y\r\n\r\n",
			"HTTP/1.1 503 No\r\nThorntiller-Attempt-Id: " + id + "\r\nThorntiller-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nThorntiller-Attempt-Id: " + id + "\r\nThorntiller-Server-Seal: x\r\n\r\nhello",
		}
		_, _ = connection.Write(mutate(random, []byte(templates[random.IntN(len(templates))])))
		return random.IntN(2) == 0
	}
	for index := range 4 {
		_, _ = newServer(f, fmt.Sprintf("i-%d", index+1), "s", f.newIP(), controlAddresses(f, controllers), answerFuzz)
	}
	time.Sleep(time.Second)
	requests := []string{
		"GET /i/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %s\r\nThorntiller-Request-Deadline: 500\r\n\r\n",
		"POST /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %s\r\nThorntiller-Request-Deadline: 500\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"POST /a/x HTTP/1.1\r\nHost: a.example\r\nThorntiller-Attempt-Id: %s\r\nThorntiller-Request-Deadline: 500\r\nContent-Length: 5\r\n\r\nhello",
	}
	beat := `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":4,"state":"ready","warm_up_left_ms":0,"sequence":4,"born":17960,"holdings":[[0,5,1]],"released":[[1,2,"x"]]}`
	call := "POST /v1/instances/j-1/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	end := time.Now().Add(50 * time.Second)
	done := make(chan int)
	for worker := range 24 {
		go func() {
			local := rand.New(rand.NewPCG(uint64(worker), 9))
			count := 0
			for time.Now().Before(end) {
				count++
				var text []byte
				target := address(fronts[local.IntN(2)].ip, f.ports.front)
				if worker%4 == 3 {
					target = address(controllers[local.IntN(5)].ip, f.ports.control)
					body := mutate(local, []byte(beat))
					text = []byte(fmt.Sprintf(call, len(body), body))
					if local.IntN(2) == 0 {
						text = mutate(local, text)
					}
				} else {
					text = []byte(fmt.Sprintf(requests[local.IntN(3)], fmt.Sprintf("%d-%d", worker, count)))
					if local.IntN(3) == 0 {
						text = mutate(local, text)
					}
				}
				connection, err := net.DialTimeout("tcp", target, time.Second)
				if err != nil {
					continue
				}
				_ = connection.SetDeadline(time.Now().Add(100 * time.Millisecond))
				_, _ = connection.Write(text)
				_, _ = io.Copy(io.Discard, connection)
				_ = connection.Close()
			}
			done <- count
		}()
	}
	total := 0
	for range 24 {
		total += <-done
	}
	fmt.Println("sent", total)
	for _, m := range append(controllers, fronts...) {
		fmt.Println(m.name, "running", m.running())
	}
	out, _ := exec.Command("grep", "-rlE", "panic", f.folder).CombinedOutput()
	fmt.Println("panics in:", string(out))
	out, _ = exec.Command("sh", "-c", "grep -rhE 'panic' "+f.folder+" | cut -c1-1500 | head -3").CombinedOutput()
	fmt.Println(string(out))
	_ = os.Stdout.Sync()
	return 0
}

package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestFormsTakeTheirMemoryFromTheAccount guards against a controller that runs out of memory by forms in parts, which
// the server read whole before their memory was counted.
func TestFormsTakeTheirMemoryFromTheAccount(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ready := func() (bool, string) { return true, "" }
	service := newAPI(config.DefaultController().API, telemetry.New("controller", "c", "info", io.Discard), nil, telemetry.NewMetrics("controller"), ready, nil)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = service.serve(service.listener(listener)) })
	defer func() { _ = service.stop(context.Background()) }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	const length = 512 << 10
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: c\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\n", intentapi.PathPlans, length)
	part := "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n"
	content := make([]byte, length-len(part)-1) // stops short
	if _, err := connection.Write(append([]byte(head+part), content...)); err != nil {
		t.Fatal(err)
	}
	const counted = length / 2
	for end := time.Now().Add(waitTimeout); service.budget.Used() < counted; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are counted while a form of %d bytes is read", service.budget.Used(), length)
		}
	}
}

package faultproxy

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// listen returns a listener that answers each message with the same bytes and
// reports what it received.
func listen(t *testing.T) (string, <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 16)
	var serving conc.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { echo(connection, received) })
		}
	})
	return listener.Addr().String(), received
}

func echo(connection net.Conn, received chan<- string) {
	defer func() { _ = connection.Close() }()
	buffer := make([]byte, 64)
	for {
		count, err := connection.Read(buffer)
		if err != nil {
			return
		}
		received <- string(buffer[:count])
		if _, err := connection.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// exchange sends a message and reports whether an answer came.
func exchange(t *testing.T, address, message string, patience time.Duration) bool {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write([]byte(message)); err != nil {
		t.Fatal(err)
	}
	if err := connection.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	_, err = connection.Read(make([]byte, len(message)))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("a cut must be silent, but the connection ended: %v", err)
	}
	return err == nil
}

func TestCutsActOnOneDirection(t *testing.T) {
	const short, long = 200 * time.Millisecond, 10 * time.Second
	target, received := listen(t)
	network := New()
	defer network.Close()
	address, err := network.Address("client", "server", target)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := network.Address("client", "server", target); err != nil || again != address {
		t.Fatalf("a link has two addresses, %s and %s (%v)", address, again, err)
	}
	if !exchange(t, address, "whole", long) || <-received != "whole" {
		t.Fatal("a link without a fault lost bytes")
	}
	if err := network.CutSending("server"); err != nil {
		t.Fatal(err)
	}
	if exchange(t, address, "one way", short) {
		t.Error("the answer came through a cut")
	}
	if got := <-received; got != "one way" {
		t.Errorf("the server received %q over the direction that is whole", got)
	}
	network.Heal()
	if err := network.CutReceiving("server"); err != nil {
		t.Fatal(err)
	}
	if exchange(t, address, "lost", short) || len(received) > 0 {
		t.Error("the server received bytes through a cut")
	}
	network.Heal()
	if !exchange(t, address, "healed", long) {
		t.Error("the link is not healed")
	}
}

func TestDownRefusesConnections(t *testing.T) {
	target, _ := listen(t)
	network := New()
	defer network.Close()
	address, err := network.Address(Anyone, "server", target)
	if err != nil {
		t.Fatal(err)
	}
	network.Down("server")
	if connection, err := net.Dial("tcp", address); err == nil {
		_ = connection.Close()
		t.Error("a process that is down accepted a connection")
	}
	if err := network.Up(); err != nil {
		t.Fatal(err)
	}
	if !exchange(t, address, "up", 10*time.Second) {
		t.Error("the process is not up again")
	}
	if network.CutOff("stranger") == nil {
		t.Error("a cut of an unknown process must fail")
	}
}

// TestBothEndsOfALinkAreCutOff cuts off two processes that share a link.
func TestBothEndsOfALinkAreCutOff(t *testing.T) {
	network := New()
	defer network.Close()
	target, _ := listen(t)
	address, err := network.Address("router", "controller", target)
	if err != nil {
		t.Fatal(err)
	}
	for _, process := range []string{"controller", "router"} {
		if err := network.CutOff(process); err != nil {
			t.Fatal(err)
		}
	}
	if exchange(t, address, "cut", 50*time.Millisecond) {
		t.Error("a link between two processes that are cut off carries an answer")
	}
	network.Heal()
	if !exchange(t, address, "healed", 10*time.Second) {
		t.Error("the healed link carries no answer")
	}
}

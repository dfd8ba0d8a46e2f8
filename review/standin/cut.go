package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// cutLink stands between a server and the controllers while they are partitioned from each other. It takes up
// connections and keeps what the server sends, as its kernel would, until it is delivered. A server that gives
// up a call closes its connection, which loses nothing of what it has sent before.
type cutLink struct {
	record    *recorder
	mutex     sync.Mutex
	held      []*heldCall
	listeners []net.Listener
	// paths maps the address of each controller to the address by which the server reaches it.
	paths map[string]string
}

// heldCall is a connection that the link holds up.
type heldCall struct {
	target string
	sentAt time.Time
	mutex  sync.Mutex
	data   []byte
}

// newCutLink opens a path to each target.
func newCutLink(record *recorder, targets []string) (*cutLink, error) {
	link := &cutLink{record: record, paths: make(map[string]string)}
	for _, target := range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		link.listeners = append(link.listeners, listener)
		link.paths[target] = listener.Addr().String()
		go link.accept(listener, target)
	}
	return link, nil
}

func (l *cutLink) accept(listener net.Listener, target string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		held := &heldCall{target: target, sentAt: time.Now()}
		l.mutex.Lock()
		l.held = append(l.held, held)
		l.mutex.Unlock()
		go held.collect(connection)
	}
}

// collect keeps what is sent on the connection until the server closes it.
func (h *heldCall) collect(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := connection.Read(buffer)
		h.mutex.Lock()
		h.data = append(h.data, buffer[:count]...)
		h.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// calls returns what is held up, in the order in which it was sent.
func (l *cutLink) calls() []*heldCall {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]*heldCall(nil), l.held...)
}

// deliver delivers one held call to its controller. Its sender has given it up, so the answer goes nowhere.
func (l *cutLink) deliver(h *heldCall) {
	l.record.note("a heartbeat that was held up for %.1f s arrives at %s", time.Since(h.sentAt).Seconds(), h.target)
	connection, err := net.DialTimeout("tcp", h.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	h.mutex.Lock()
	data := h.data
	h.mutex.Unlock()
	_ = connection.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := connection.Write(data); err != nil {
		return
	}
	buffer := make([]byte, 4096)
	count, err := connection.Read(buffer)
	if err == nil || errors.Is(err, io.EOF) {
		l.record.note("%s answers to nobody: %.200q", h.target, buffer[:count])
	}
}

func (l *cutLink) close() {
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
}

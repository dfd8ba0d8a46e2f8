package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the milliseconds since the start.
type recorder struct {
	mutex  sync.Mutex
	began  time.Time
	file   *os.File
	writer *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

func (r *recorder) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%9.1f ", float64(time.Since(r.began).Microseconds())/1000)
	_, _ = fmt.Fprintf(r.writer, format+"\n", values...)
}

// say notes a line and prints it.
func (r *recorder) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// report notes a line, and prints it if it is one of the first.
func (r *recorder) report(number int, format string, values ...any) {
	if number <= maxReported {
		r.say(format, values...)
		return
	}
	r.note(format, values...)
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

package rig

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is what a process used up to a moment.
type Usage struct {
	// CPU is the processor time of all threads, from the scheduler's counters.
	CPU time.Duration
	// Resident is the memory that the process holds now, in bytes.
	Resident int64
}

// ReadUsage reads the usage of a running process.
func ReadUsage(pid int) (Usage, error) {
	cpu, err := readCPU(pid)
	if err != nil {
		return Usage{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read the memory of a process")
	}
	fields := bytes.Fields(statm)
	const residentField = 1
	if len(fields) <= residentField {
		return Usage{}, eris.Errorf("statm of process %d has %d fields", pid, len(fields))
	}
	pages, err := strconv.ParseInt(string(fields[residentField]), 10, 64)
	if err != nil {
		return Usage{}, eris.Wrap(err, "statm")
	}
	return Usage{CPU: cpu, Resident: pages * int64(os.Getpagesize())}, nil
}

// readCPU adds up the threads: /proc/PID/stat counts in ticks of 10 ms, which
// is too coarse for short windows.
func readCPU(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, eris.Errorf("process %d has no threads: it ended", pid)
	}
	total := time.Duration(0)
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue // the thread ended meanwhile
		}
		fields := bytes.Fields(content)
		if len(fields) == 0 {
			continue
		}
		running, err := strconv.ParseInt(string(fields[0]), 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "schedstat")
		}
		total += time.Duration(running)
	}
	return total, nil
}

// folderBytes returns the size of all files below a folder.
func folderBytes(folder string) int64 {
	total := int64(0)
	// A file that goes away meanwhile does not count.
	_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil //nolint:nilerr // see above
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}

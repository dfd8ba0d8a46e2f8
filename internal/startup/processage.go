package startup

import (
	"bytes"
	"os"
	"strconv"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
)

const (
	// startTimeField is the position of the start time in /proc/self/stat, counted from the field behind the
	// command's name: field 22 of proc_pid_stat(5).
	startTimeField = 22 - 3
	// startTimeUnit is the unit of that field, USER_HZ.
	startTimeUnit = 10 * time.Millisecond
)

// ProcessAge returns the time since the kernel started this process, to 10 ms, and false if it is not known.
func ProcessAge() (time.Duration, bool) {
	content, err := os.ReadFile("/proc/self/stat")
	if err != nil {
		return 0, false
	}
	// The command's name is in parentheses and may contain spaces.
	fields := bytes.Fields(content[bytes.LastIndexByte(content, ')')+1:])
	if len(fields) <= startTimeField {
		return 0, false
	}
	ticks, err := strconv.ParseInt(string(fields[startTimeField]), 10, 64)
	age := clock.BootTime() - time.Duration(ticks)*startTimeUnit
	return age, err == nil && age >= 0
}

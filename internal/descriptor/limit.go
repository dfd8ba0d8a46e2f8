package descriptor

import (
	"errors"
	"math"
	"syscall"

	"golang.org/x/sys/unix"
)

// Limit returns how many descriptors the process may have open at present. The bound, if it is not zero, is the highest
// that is returned.
func Limit(bound int) int {
	limit := math.MaxInt32
	var own unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &own) == nil && own.Cur < math.MaxInt32 {
		limit = int(own.Cur)
	}
	if bound > 0 {
		limit = min(limit, bound)
	}
	return limit
}

// Exhausted reports whether an operation had no effect because the process or the machine has no descriptor left.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

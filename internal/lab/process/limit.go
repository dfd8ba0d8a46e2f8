package process

import (
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// LimitFileSize lets every write of this one process fail that would make a file
// larger than the given bytes, as on a disk that is full. The limit ends with
// the process.
func (p *Process) LimitFileSize(bytes uint64) error {
	limit := unix.Rlimit{Cur: bytes, Max: bytes}
	err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
	return eris.Wrapf(err, "limit the file size of %s", p.spec.Name)
}

package process

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Spec describes a process to start.
type Spec struct {
	Name      string
	Path      string
	Arguments []string
	// LogFile takes standard output and standard error, appended.
	LogFile string
}

// Process is one started process.
type Process struct {
	spec    Spec
	command *exec.Cmd
	ended   chan struct{}
	mutex   sync.Mutex
	frozen  bool
	err     error
}

// background holds goroutines that nobody waits for: the starter, and one for
// each process, which tells of its end by a channel.
var background conc.WaitGroup

// starter runs Start calls on one thread that lives as long as this process:
// the kernel sends the parent-death signal when the starting thread ends.
var starter = sync.OnceValue(func() chan func() {
	work := make(chan func())
	background.Go(func() {
		runtime.LockOSThread()
		for task := range work {
			task()
		}
	})
	return work
})

// Start starts a process.
func Start(spec Spec) (*Process, error) {
	output, err := os.OpenFile(spec.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "open the log of %s", spec.Name)
	}
	defer func() { _ = output.Close() }() // the process has a copy of its own
	command := exec.Command(spec.Path, spec.Arguments...)
	command.Stdout = output
	command.Stderr = output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return nil, eris.Wrapf(err, "start %s", spec.Name)
	}
	process := &Process{spec: spec, command: command, ended: make(chan struct{})}
	background.Go(process.wait)
	return process, nil
}

func (p *Process) wait() {
	err := p.command.Wait()
	p.mutex.Lock()
	p.err = err
	p.mutex.Unlock()
	close(p.ended)
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.spec.Name }

// Spec returns what the process was started from.
func (p *Process) Spec() Spec { return p.spec }

// PID returns the number of the process, for readings of what it uses.
func (p *Process) PID() int { return p.command.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process at once, frozen or not.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the process in its tracks.
func (p *Process) Freeze() {
	p.mutex.Lock()
	p.frozen = true
	p.mutex.Unlock()
	p.signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() {
	p.signal(syscall.SIGCONT)
	p.mutex.Lock()
	p.frozen = false
	p.mutex.Unlock()
}

// Terminate asks the process to stop and returns at once.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Stop asks the process to stop, waits for its end, and returns the error of a
// process that ended badly. A process that does not end in time is killed.
func (p *Process) Stop(timeout time.Duration) error {
	p.Terminate()
	select {
	case <-p.ended:
	case <-time.After(timeout):
		p.Kill()
		return eris.Errorf("%s did not stop within %s", p.spec.Name, timeout)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.err != nil {
		return eris.Wrapf(p.err, "%s ended badly", p.spec.Name)
	}
	return nil
}

func (p *Process) signal(signal syscall.Signal) {
	if p.Running() {
		// The process may have ended meanwhile, which is no fault.
		_ = p.command.Process.Signal(signal)
	}
}

package fleet

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Process is one process that the fleet started.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}
}

// start runs a program with its output appended to a log file. The process gets a signal when its parent dies, so that
// a killed test leaves nothing behind.
func start(name, log, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	defer func() { _ = out.Close() }()
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends a signal; it does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to end and reports whether it did so within the time; otherwise it is killed.
func (p *Process) Stop(within time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		p.Kill()
		return false
	}
}

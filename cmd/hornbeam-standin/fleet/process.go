package fleet

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Process is a child process that the fleet started.
type Process struct {
	Name string

	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// startProcess starts a program and appends its output to a log file. The kernel kills the process when its parent
// dies, so that a killed test leaves no processes behind.
func startProcess(name, logFile, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	defer func() { _ = out.Close() }()
	p := &Process{Name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process; it does nothing if the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop sends SIGTERM to the process and reports whether it exited within the timeout. If it did not, Stop kills it.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

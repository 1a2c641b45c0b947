package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Proc is one running process.
type Proc struct {
	Name string

	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// StartProc runs a program with its output in dir.
func StartProc(dir, name, program string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &Proc{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Proc) wait() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.done)
}

// Pid returns the process ID.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends sig to the process.
func (p *Proc) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop tells the process to stop, waits for its end, and returns how it ended.
func (p *Proc) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.done
	return p.err
}

// Done returns a channel that is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

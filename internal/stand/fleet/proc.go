package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Proc is a process. Make one with StartProc.
type Proc struct {
	Name string

	cmd     *exec.Cmd
	logFile *os.File
	done    chan struct{} // closed when the process has ended
	exitErr error         // result of cmd.Wait; set before done is closed
}

// raceOptions are the options of programs that are built with the race detector. It would keep each
// process for a second after its end, past the time at which a platform kills it.
const raceOptions = "GORACE=atexit_sleep_ms=0"

// StartProc starts a program, whose output is appended to the file name.log in dir.
func StartProc(dir, name, program string, args ...string) (*Proc, error) {
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), raceOptions)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return nil, err
	}
	p := &Proc{Name: name, cmd: cmd, logFile: logFile, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

// wait waits for the end of the process and records it.
func (p *Proc) wait() {
	p.exitErr = p.cmd.Wait()
	_ = p.logFile.Close()
	close(p.done)
}

// Pid returns the process ID.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends sig to the process.
func (p *Proc) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Kill sends SIGKILL to the process and waits for its end.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM to the process, waits for its end, and returns the result of
// exec.Cmd.Wait: nil if the process exited with status 0.
func (p *Proc) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.done
	return p.exitErr
}

// Done returns a channel that is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

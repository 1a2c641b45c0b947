package psim

import (
	"syscall"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

// Launch starts the named process, which must not be running.
func (p *Platform) Launch(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	proc, err := fleet.StartProc(p.dir, name, p.program, p.args[name]...)
	if err != nil {
		return err
	}
	p.procs[name] = proc
	if proxy := p.proxies["internal "+name]; proxy != nil {
		return proxy.Listen()
	}
	return nil
}

// Kill kills the named process and waits for its end.
func (p *Platform) Kill(name string) {
	p.proc(name).Kill()
	p.refuse(name)
}

// refuse makes connections to a process that has ended be refused.
func (p *Platform) refuse(name string) {
	if proxy := p.proxies["internal "+name]; proxy != nil {
		proxy.StopListening()
	}
}

// Signal sends a signal to the named process.
func (p *Platform) Signal(name string, sig syscall.Signal) error { return p.proc(name).Signal(sig) }

// Pid returns the process ID of the named process.
func (p *Platform) Pid(name string) int { return p.proc(name).Pid() }

// Exited returns a channel that is closed when the named process has ended.
func (p *Platform) Exited(name string) <-chan struct{} { return p.proc(name).Done() }

// Stop sends SIGTERM to the named process, waits for its end, and kills it after the grace time. It
// returns nil if the process exited with status 0, as fleet.Proc.Stop does.
func (p *Platform) Stop(name string) error {
	defer p.refuse(name)
	proc := p.proc(name)
	p.stops.begin(name)
	kill := time.AfterFunc(p.grace, proc.Kill)
	defer kill.Stop()
	return proc.Stop()
}

func (p *Platform) proc(name string) *fleet.Proc {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.procs[name]
}

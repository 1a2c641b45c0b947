package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/netem"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
)

// failure is one kind of failure, which is injected into one of several components.
type failure struct {
	kind string
	// prefix begins the names of the components: e entries, n nodes, t targets, s the
	// store, c the configuration, d the tasks of jobs, x callers, z failure domains, f the connections of callers to an entry, i those of other
	// processes to an entry, j those to a node.
	prefix string
	// inject causes the failure in the component with that name and number, counted
	// from 1, and repairs it after the duration.
	inject func(r *runner, name string, i int, duration time.Duration)
}

// failures lists all failures, which are drawn with equal probability. A kind that
// is listed more than once occurs more often.
var failures = []failure{
	{"kill", "e", killAndRelaunch},
	{"kill", "n", killAndRelaunch},
	{"stop", "e", stopBesideSignals},
	{"stop", "n", stopAndRelaunch},
	{"pause", "e", pause},
	{"pause", "n", pause},
	{"hup", "e", reload},
	{"config", "c", changeConfig},
	{"store down", "s", takeStoreDown},
	{"store history discarded", "s", func(r *runner, _ string, _ int, _ time.Duration) { r.platform.DiscardHistory() }},
	{"domain evacuated", "z", evacuate},
	{"tasks crash targets", "d", crashByTasks(psim.AfterAnswer)},
	{"tasks crash targets unanswered", "d", crashByTasks(psim.BeforeAnswer)},
	{"callers cancel", "x", cancelJobs},
	{"store cut", "e", func(r *runner, name string, _ int, duration time.Duration) {
		setProxyMode(r, "store "+name, netem.Blackhole, duration)
	}},
	{"store answers lost", "n", func(r *runner, name string, _ int, duration time.Duration) {
		setProxyMode(r, "store "+name, netem.DropReplies, duration)
	}},
	{"callers cut", "e", func(r *runner, name string, _ int, duration time.Duration) {
		setProxyMode(r, "front "+name, netem.Refuse, duration)
	}},
	{"entry cut", "e", cutEntryOff},
	{"entry left", "e", leaveEntry},
	{"callers reset", "f", func(r *runner, _ string, i int, _ time.Duration) {
		r.platform.Proxy(frontProxy(i)).CloseConnections()
	}},
	{"node cut", "j", setInternalProxyMode("n", netem.Blackhole)},
	{"node answers lost", "j", setInternalProxyMode("n", netem.DropReplies)},
	{"node held up", "j", setInternalProxyMode("n", netem.Hold)},
	{"node connections silent", "j", silenceConnections("n")},
	{"entry not heard", "i", setInternalProxyMode("e", netem.DropReplies)},
	{"entry not reached", "i", setInternalProxyMode("e", netem.Blackhole)},
	{"entry held up", "i", setInternalProxyMode("e", netem.Hold)},
	{"entry connections silent", "i", silenceConnections("e")},
	{"quota", "e", quota(24 * time.Millisecond)},
	{"quota", "n", quota(24 * time.Millisecond)},
	{"hard quota", "e", quota(10 * time.Millisecond)},
	{"hard quota", "n", quota(10 * time.Millisecond)},
	{"target cut", "t", setTargetProxyMode(netem.Blackhole)},
	{"target answers lost", "t", setTargetProxyMode(netem.DropReplies)},
	{"target reset", "t", setTargetProxyMode(netem.Refuse)},
	{"orders lost", "t", setBehaviour(psim.Behaviour{UnansweredShare: 0.3})},
	{"target fails", "t", setBehaviour(psim.Behaviour{FailTasks: true})},
	{"target unhealthy", "t", setBehaviour(psim.Behaviour{UnhealthyShare: 0.5})},
	{"target restarts", "t", func(r *runner, _ string, i int, _ time.Duration) { r.platform.RestartTarget(i) }},
	{"target crashes", "t", func(r *runner, _ string, i int, _ time.Duration) { r.platform.CrashTarget(i) }},
	{"target leaves", "t", drainAndRestart},
}

// count returns the number of components of the failure's kind.
func (f failure) count(cfg Config) int {
	switch f.prefix {
	case "e", "f", "i":
		return cfg.Entries
	case "n", "t", "j":
		return cfg.Nodes
	case "z":
		return psim.Domains
	}
	return 1
}

// breaksCallers reports whether the failure may end requests of an entry without an answer. A planned
// stop may not.
func (f failure) breaksCallers() bool {
	return f.prefix == "f" || f.prefix == "e" && f.kind != "stop" && f.kind != "hup"
}

// crashingEvery is the number of jobs of which one crashes its targets while some do.
const crashingEvery = 8

// crashByTasks returns a failure that lets tasks crash their targets for a while.
func crashByTasks(c psim.Crash) func(*runner, string, int, time.Duration) {
	return func(r *runner, _ string, _ int, duration time.Duration) {
		r.crash.Store(c)
		time.Sleep(duration)
		r.crash.Store(psim.NoCrash)
	}
}

// cancelDelay is the time from the submission of a job to its cancel, which may overtake it.
const cancelDelay = 30 * time.Millisecond

// cancelJobs lets callers cancel some of their jobs, at another entry than the one that has them, for
// a while.
func cancelJobs(r *runner, _ string, _ int, duration time.Duration) {
	r.cancelling.Store(true)
	time.Sleep(duration)
	r.cancelling.Store(false)
}

// frontProxy returns the name of the proxy between callers and an entry.
func frontProxy(i int) string { return fmt.Sprintf("front e%d", i) }

func killAndRelaunch(r *runner, name string, _ int, duration time.Duration) {
	r.platform.Kill(name)
	time.Sleep(duration / 2)
	r.relaunch(name)
}

// startupTime is how long a process may take until it handles signals. A process
// that gets the signal to stop earlier is ended by the signal itself. That is no
// violation, because no job is lost with it. The signal to read the settings again is held back
// that long: no program can handle one that comes before it runs.
const startupTime = 100 * time.Millisecond

// startingFor returns for how long a process may still not handle signals; not positive if it does.
func (r *runner) startingFor(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.launchedAt[name].Add(startupTime))
}

func stopAndRelaunch(r *runner, name string, _ int, _ time.Duration) {
	starting := r.startingFor(name) > 0
	if err := r.platform.Stop(name); err != nil && !starting {
		r.addViolation("%s did not stop cleanly: %v", name, err)
	}
	r.relaunch(name)
}

// signalAgainDelay is how long after the signal to stop an entry gets further signals. None has ended
// by then.
const signalAgainDelay = 50 * time.Millisecond

// stopBesideSignals stops an entry as planned, and starts it again. By the duration, it gets only the
// signal to stop; that signal twice, and the one to read its settings; or it is paused while it stops.
func stopBesideSignals(r *runner, name string, i int, duration time.Duration) {
	var signals sync.WaitGroup
	if r.startingFor(name) <= 0 {
		switch duration.Milliseconds() % 3 {
		case 1:
			signals.Go(func() { r.signalAfter(name, signalAgainDelay, syscall.SIGHUP, syscall.SIGTERM) })
		case 2:
			signals.Go(func() {
				r.signalAfter(name, signalAgainDelay, syscall.SIGSTOP)
				r.signalAfter(name, duration, syscall.SIGCONT)
			})
		}
	}
	stopAndRelaunch(r, name, i, duration)
	signals.Wait()
}

// signalAfter sends signals to a process after a delay.
func (r *runner) signalAfter(name string, delay time.Duration, signals ...syscall.Signal) {
	time.Sleep(delay)
	for _, sig := range signals {
		r.signal(name, sig)
	}
}

// relaunch starts a process again.
func (r *runner) relaunch(name string) {
	r.mu.Lock()
	r.launchedAt[name] = time.Now()
	r.mu.Unlock()
	if err := r.platform.Launch(name); err != nil {
		r.addViolation("%s does not start: %v", name, err)
	}
}

func pause(r *runner, name string, _ int, duration time.Duration) {
	r.signal(name, syscall.SIGSTOP)
	time.Sleep(duration)
	r.signal(name, syscall.SIGCONT)
}

// quotaPeriod is the time in which a process that runs on a quota uses it once.
const quotaPeriod = 100 * time.Millisecond

// quota returns a failure that lets a process run for the given time of each quotaPeriod, as
// when its share of a processor is a quota.
func quota(running time.Duration) func(*runner, string, int, time.Duration) {
	return func(r *runner, name string, _ int, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); {
			time.Sleep(running)
			pause(r, name, 0, quotaPeriod-running)
		}
	}
}

func reload(r *runner, name string, _ int, _ time.Duration) {
	time.Sleep(r.startingFor(name))
	r.signal(name, syscall.SIGHUP)
}

func (r *runner) signal(name string, sig syscall.Signal) {
	if err := r.platform.Signal(name, sig); err != nil {
		r.addViolation("cannot send a signal to %s: %v", name, err)
	}
}

func changeConfig(r *runner, _ string, _ int, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion++
	r.platform.WriteConfig(r.configVersion)
}

func takeStoreDown(r *runner, _ string, _ int, duration time.Duration) {
	r.platform.SetStoreDown(true)
	time.Sleep(duration)
	r.platform.SetStoreDown(false)
}

// setProxyMode sets the mode of a proxy for the duration.
func setProxyMode(r *runner, name string, mode netem.Mode, duration time.Duration) {
	proxy := r.platform.Proxy(name)
	proxy.SetMode(mode)
	time.Sleep(duration)
	proxy.SetMode(netem.Forward)
}

// cutEntryOff cuts an entry off from its callers and from the load balancer's checks, for the
// duration. Open connections stay.
func cutEntryOff(r *runner, name string, _ int, duration time.Duration) {
	ready := r.platform.Proxy("ready " + name)
	ready.SetMode(netem.Blackhole)
	setProxyMode(r, "front "+name, netem.Blackhole, duration)
	ready.SetMode(netem.Forward)
}

// callersKept is how long after a cut of an entry the load balancer keeps the connections of
// its callers.
const callersKept = 600 * time.Millisecond

// leaveEntry cuts an entry off from its callers and from the load balancer's checks, for the
// duration. The callers' connections are reset meanwhile, which the entry learns after the cut.
func leaveEntry(r *runner, name string, _ int, duration time.Duration) {
	ready, front := r.platform.Proxy("ready "+name), r.platform.Proxy("front "+name)
	ready.SetMode(netem.Blackhole)
	front.SetMode(netem.Blackhole)
	time.Sleep(callersKept)
	front.CloseClients()
	time.Sleep(duration)
	ready.SetMode(netem.Forward)
	front.SetMode(netem.Forward)
}

// internalProxy returns the name of the proxy between other processes and the process with the
// given prefix and number.
func internalProxy(prefix string, i int) string { return fmt.Sprintf("internal %s%d", prefix, i) }

// setInternalProxyMode returns a failure that sets the mode of the proxy before the internal
// port of an entry or node. The calls of the process itself to others go on.
func setInternalProxyMode(prefix string, mode netem.Mode) func(*runner, string, int, time.Duration) {
	return func(r *runner, _ string, i int, duration time.Duration) {
		setProxyMode(r, internalProxy(prefix, i), mode, duration)
	}
}

// silenceConnections returns a failure that makes the open connections to an entry or node
// silent for good.
func silenceConnections(prefix string) func(*runner, string, int, time.Duration) {
	return func(r *runner, _ string, i int, _ time.Duration) {
		r.platform.Proxy(internalProxy(prefix, i)).SilenceConnections()
	}
}

// setTargetProxyMode returns a failure that sets the mode of the proxy between a
// node and its target.
func setTargetProxyMode(mode netem.Mode) func(*runner, string, int, time.Duration) {
	return func(r *runner, _ string, i int, duration time.Duration) {
		setProxyMode(r, fmt.Sprintf("target n%d", i), mode, duration)
	}
}

// setBehaviour returns a failure that gives a target the behaviour.
func setBehaviour(behaviour psim.Behaviour) func(*runner, string, int, time.Duration) {
	return func(r *runner, _ string, i int, duration time.Duration) {
		r.platform.SetBehaviour(i, behaviour)
		time.Sleep(duration)
		r.platform.SetBehaviour(i, psim.Behaviour{})
	}
}

// evacuationLimit is how long after the request to evacuate a domain tasks may still start
// there: the limit for undisturbed processes, and the longest failure before that of another
// component that keeps one uninformed.
const evacuationLimit = 5*time.Second + maxDurationMS*time.Millisecond

// evacuate evacuates a failure domain for longer than evacuationLimit, and takes it back.
func evacuate(r *runner, _ string, i int, duration time.Duration) {
	r.platform.Evacuate(i)
	time.Sleep(evacuationLimit + time.Second + duration)
	r.platform.TakeBack(i)
}

// drainAndRestart makes a target report that it drains, go on serving for at least
// 2 s, and restart as a new incarnation.
func drainAndRestart(r *runner, _ string, i int, duration time.Duration) {
	r.platform.SetBehaviour(i, psim.Behaviour{Draining: true})
	time.Sleep(2*time.Second + duration)
	r.platform.CrashTarget(i)
}

package rules

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Kinds of events.
const (
	killGate = iota
	killEntry
	cutConnection
	cutReplies
	restartTarget
	restartTargetInPlace
	drainTarget
	deregisterTarget
	shrinkTarget
	delayHeartbeat
	holdHeartbeat
	silenceTarget
	loseOrders
	loseStops
	delayOrders
	failTargetRuns
	stallTargetRuns
	makeTargetUnhealthy
	callerAbandons
	cutCallers
	silenceCallers
	stallEntry
	cutCallersPath
	cutPeers
	cutGates
	cutStore
	evacuateDomain
	discardHistory
	slowPolls
	stopEntry
	kindCount
)

// maxSeed is the highest seed of the behavior of targets.
const maxSeed = 1 << 30

// stallFactor is how many times longer a stall of an entry lasts than other events.
const stallFactor = 3

var kindNames = [kindCount]string{
	"kill gate", "kill entry", "connection cut", "replies cut", "target restarts", "target restarts under its ID", "target leaves",
	"target deregisters", "target shrinks", "heartbeat of before", "heartbeat delayed", "target silent", "orders lost", "stops lost",
	"orders delayed", "target fails", "target stuck", "target unhealthy", "caller abandons job", "callers cut", "callers silent", "entry stands still",
	"callers' path cut", "other entries cut", "gates cut", "store cut", "domain evacuated", "store's history discarded",
	"polls slow", "entry is stopped",
}

// event is a failure, restart or departure that begins at a given time and, for most
// kinds, lasts for a given duration.
type event struct {
	StartMS    int // after the start of the schedule
	Kind       int
	Index      int // of the job, or of the gate or entry modulo their number
	DurationMS int
}

// String returns a description of the event for failure messages.
func (e event) String() string {
	return fmt.Sprintf("%d ms: %s %d for %d ms", e.StartMS, kindNames[e.Kind], e.Index, e.DurationMS)
}

// schedule is one random test case.
type schedule struct {
	Entries  int  // number of entries; 0 for entryCount
	Balanced bool // a load balancer checks the entries
	Seed     int  // of the behavior of the targets
	Events   []event
	Jobs     []jobSpec
	SubmitMS []int // times at which the jobs are submitted, by index in Jobs
	ActiveMS int   // time in which jobs are submitted and failures begin; 0 for activeMS
	// LossesKnown is set if no gate dies, so that no task starts after crashLimit crashes.
	LossesKnown bool
}

// drawSeed returns a random seed of the behavior of targets.
func drawSeed(t *rapid.T) int { return rapid.IntRange(1, maxSeed).Draw(t, "seed") }

// drawSchedule returns a random schedule with events of the given kinds.
func drawSchedule(t *rapid.T, kinds []int) schedule {
	sched := schedule{Seed: drawSeed(t)}
	for i := range rapid.IntRange(1, 7).Draw(t, "events") {
		sched.Events = append(sched.Events, event{
			StartMS:    rapid.IntRange(0, activeMS).Draw(t, fmt.Sprint("at", i)),
			Kind:       rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind", i)),
			Index:      rapid.IntRange(0, 5).Draw(t, fmt.Sprint("which", i)),
			DurationMS: rapid.IntRange(50, 1500).Draw(t, fmt.Sprint("for", i)),
		})
	}
	for i := range rapid.IntRange(10, 40).Draw(t, "jobs") {
		s := jobSpec{
			Tasks: rapid.IntRange(1, 4).Draw(t, fmt.Sprint("tasks", i)),
			Work: work{
				CPU:  rapid.IntRange(100, 600).Draw(t, fmt.Sprint("cpu", i)),
				MS:   rapid.IntRange(20, 700).Draw(t, fmt.Sprint("ms", i)),
				Fail: rapid.IntRange(0, 9).Draw(t, fmt.Sprint("fails", i)) == 0,
			},
			Attempts: rapid.IntRange(1, 3).Draw(t, fmt.Sprint("attempts", i)),
			Entry:    rapid.IntRange(0, entryCount-1).Draw(t, fmt.Sprint("entry", i)),
		}
		if rapid.IntRange(0, 9).Draw(t, fmt.Sprint("long", i)) == 0 {
			s.Work = work{CPU: 100, MS: longRunMS}
		}
		sched.Jobs = append(sched.Jobs, s)
		sched.SubmitMS = append(sched.SubmitMS, rapid.IntRange(0, activeMS).Draw(t, fmt.Sprint("time", i)))
	}
	return sched
}

// inject makes an event begin and returns the function that ends it.
func (c *cluster) inject(e event) (finish func()) {
	g, i := e.Index%gateCount, e.Index%len(c.entries)
	withFaults := func(faultMode targetFaults) func() {
		c.targets[g].setFaults(faultMode)
		return func() { c.targets[g].setFaults(targetFaults{}) }
	}
	switch e.Kind {
	case killGate:
		c.gateAt(g).kill()
		return func() { c.startGate(g) }
	case killEntry:
		c.entryAt(i).kill()
		return func() { c.startEntry(i) }
	case stopEntry:
		return c.stopEntry(i)
	case cutConnection:
		return c.degrade(i, g, dropsAll)
	case cutReplies:
		return c.degrade(i, g, dropsReplies)
	case restartTarget:
		c.heartbeat(g, c.targets[g].restart())
	case restartTargetInPlace:
		c.targets[g].restartInPlace()
	case drainTarget:
		c.heartbeat(g, c.targets[g].startLeaving())
		return func() {
			time.Sleep(drainGrace)
			c.heartbeat(g, c.targets[g].restart())
		}
	case deregisterTarget:
		departing := c.targets[g].startLeaving()
		c.heartbeat(g, departing)
		go c.gateAt(g).gate.HandleDeregistration(departing.ID) // the acknowledgement is lost
		return func() { c.heartbeat(g, c.targets[g].restart()) }
	case shrinkTarget:
		c.targets[g].shrink()
		return func() {
			time.Sleep(shrinkGrace)
			c.targets[g].grow()
		}
	case holdHeartbeat:
		held := c.targets[g].current()
		return func() { c.heartbeat(g, held) }
	case delayHeartbeat:
		c.heartbeat(g, c.targets[g].outdated())
	case silenceTarget:
		return withFaults(targetFaults{unresponsive: true})
	case loseOrders:
		return withFaults(targetFaults{loseEvery: 3})
	case loseStops:
		return withFaults(targetFaults{loseStops: true})
	case delayOrders:
		return withFaults(targetFaults{loseEvery: 2, keepLost: true})
	case slowPolls:
		return withFaults(targetFaults{slowPolls: true})
	case failTargetRuns:
		return withFaults(targetFaults{failRuns: true})
	case stallTargetRuns:
		return withFaults(targetFaults{stallRuns: true})
	case makeTargetUnhealthy:
		return withFaults(targetFaults{unhealthy: true})
	case callerAbandons:
		c.callerAbandons(fmt.Sprint("j", e.Index))
	case cutCallers:
		c.disconnectCallers(i)
	case silenceCallers:
		c.silenceCallers(i)
	case stallEntry:
		goOn := c.stallEntry(i)
		return func() {
			time.Sleep(time.Duration(e.DurationMS) * time.Millisecond * (stallFactor - 1))
			goOn()
		}
	case cutCallersPath:
		return c.cutCallersPath(i)
	case cutPeers:
		return c.cut(peersPath, i)
	case cutGates:
		return c.cut(gatesPath, i)
	case cutStore:
		return c.cut(storePath, i)
	case evacuateDomain:
		domain := domainOf(e.Index)
		c.operator.write(domain, true)
		return func() { c.operator.write(domain, false) }
	case discardHistory:
		c.operator.discard()
	}
	return func() {}
}

// gateAt returns the current incarnation of gate i.
func (c *cluster) gateAt(i int) *gateProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gates[i]
}

// entryAt returns the current incarnation of entry i.
func (c *cluster) entryAt(i int) *entryProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i]
}

// degrade sets the state of the connection between an entry and a gate, and returns
// the function that restores the connection.
func (c *cluster) degrade(entry, g int, conn connState) func() {
	set := func(newState connState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.connections[[2]int{entry, g}] = newState
	}
	set(conn)
	return func() { set(connected) }
}

// disconnectCallers breaks the connections of all callers of an entry. The callers
// then resubmit their jobs.
func (c *cluster) disconnectCallers(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, cancel := range c.disconnects {
		if strings.HasPrefix(key, fmt.Sprint(entry, "/")) {
			cancel()
		}
	}
}

// silenceCallers lets the connections of all callers of an entry go silent: the callers
// take them for broken and resubmit their jobs, while the entry does not learn of it.
func (c *cluster) silenceCallers(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, silence := range c.silences {
		if strings.HasPrefix(key, fmt.Sprint(entry, "/")) {
			silence()
		}
	}
}

// callerAbandons makes the caller of a job abandon it, if the job was submitted.
func (c *cluster) callerAbandons(id string) {
	c.mu.Lock()
	abandon := c.abandonFuncs[id]
	c.mu.Unlock()
	if abandon != nil {
		c.checker.abandon(id)
		abandon()
	}
}

// allKinds returns all kinds of events but silenceCallers, stallEntry and cuts of paths: nobody
// can make an entry give up a job if it dies, or stands still, just before the job is submitted
// again, nor tell it that its caller has abandoned the job.
func allKinds() []int {
	var list []int
	for k := range silenceCallers {
		list = append(list, k)
	}
	return list
}

package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
)

// Limits of the platform in TestIngress, and the crowd of clients that it sends. They were set
// when each fault was shown on the code without limits (docs/design/door.md), and stay as they are.
const (
	ingressMemoryMB = 64
	ingressMaxFDs   = 400
	ingressBody     = 256 << 10 // bytes
	ingressClients  = 600
	ingressHold     = 3 * time.Second // how long the crowd stays before the ordinary request
	// killMB is the memory at which a process is killed, for the sake of the machine. Without limits
	// one reached 27 GB.
	killMB = 4096
)

// ingressClient is one client of a crowd. It is called with the address of the process and the
// number of the client, and holds its connection open until stop is closed.
type ingressClient func(addr string, number int, stop <-chan struct{})

// ingressShapes are the crowds of TestIngress: what an untrusted client sends, and where.
var ingressShapes = []struct {
	name, role, port string
	client           ingressClient
}{
	// Bodies that stop short of their end held .35 MB each, without bound.
	{"body stops short", "entry", "front", stoppedBody("/plan/%016x", ingressBody-10, ingressBody)},
	{"body in pieces stops short", "entry", "front", bodyInPieces("/plan/%016x", ingressBody-10)},
	{"body in chunks stops short", "entry", "front", chunkedBody("/plan/%016x", ingressBody-10)},
	{"body without a route stops short", "entry", "front", stoppedBody("/none/%016x", ingressBody-10, ingressBody)},
	{"body at the readiness check stops short", "entry", "ready", stoppedBody("/%016x", ingressBody-10, ingressBody)},
	{"body at the metrics port stops short", "entry", "metrics", stoppedBody("/metrics/%016x", ingressBody-10, ingressBody)},
	{"heartbeat stops short", "node", "control", stoppedBody("/-/instances/%016x/heartbeat", 64<<10-10, 64<<10)},
	// A body of 256 KiB with the shortest steps costs many times its length when it is decoded.
	{"short fields", "entry", "front", shortFields("/plan/%016x", ingressBody)},
	{"short fields in a heartbeat", "node", "control", shortLabels("/-/instances/%016x/heartbeat", 64<<10)},
	{"body over the limit", "entry", "front", stoppedBody("/plan/%016x", 8<<20, 1<<30)},
	{"pipelined requests", "entry", "front", pipelined("/plan/")},
	{"headers stop short", "entry", "front", stoppedHeaders("/plan/")},
	{"silent connections", "entry", "front", silent},
	{"silent connections between processes", "node", "internal", silent},
	// A byte string announced as 1 GiB was allocated before it arrived.
	{"announced length between processes", "node", "internal", announcedBytes("Gate.Take")},
	{"nested arrays between processes", "entry", "internal", nestedArrays},
	{"calls without reading replies", "node", "internal", unreadCalls},
}

// TestIngress sends crowds of untrusted clients to a process. It guards against a process that
// ends, or exceeds its memory or descriptors, or stops serving jobs, because of what such clients
// send.
func TestIngress(t *testing.T) {
	bin := buildPlain(t)
	for _, shape := range ingressShapes {
		t.Run(shape.name, func(t *testing.T) {
			platform, err := psim.New(t.TempDir(), bin, psim.Options{
				Entries: 1, Nodes: 1,
				Limits: psim.Limits{MemoryMB: ingressMemoryMB, MaxFDs: ingressMaxFDs, MaxBodyBytes: ingressBody},
			})
			if platform != nil {
				t.Cleanup(platform.Close)
			}
			if err != nil {
				t.Fatal(err)
			}
			awaitTrue(t, "the platform to be ready", platform.Ready)
			checkIngress(t, platform, shape.role, platform.Addr(shape.role, 1, shape.port), shape.client)
		})
	}
}

// checkIngress sends a crowd to addr of the first process of the role while jobs run, and checks
// the process and the jobs.
func checkIngress(t *testing.T, platform *psim.Platform, role, addr string, client ingressClient) {
	var before sync.WaitGroup
	states := make([]string, 4)
	for i := range states {
		before.Go(func() { states[i] = platform.SubmitJob(fmt.Sprintf("%016x", 0xa0+i), 1, 2000, 500) })
	}
	time.Sleep(500 * time.Millisecond)
	name := map[string]string{"entry": "e1", "node": "n1"}[role]
	usage := watchProcess(platform.Pid(name), platform.Exited(name))
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for i := range ingressClients {
		crowd.Go(func() { client(addr, i, stop) })
	}
	time.Sleep(ingressHold)
	next := 0xc0
	awaitTrue(t, "an ordinary job to be done", func() bool {
		select {
		case <-platform.Exited(name):
			return true
		default:
		}
		next++
		return platform.SubmitJob(fmt.Sprintf("%016x", next), 1, 20, 500) == "done"
	})
	close(stop)
	crowd.Wait()
	before.Wait()
	maxMB, maxFDs := usage.end()
	t.Logf("peak: %d MB, %d descriptors, jobs from before: %v", maxMB, maxFDs, states)
	select {
	case <-platform.Exited(name):
		t.Error("the process has ended")
	default:
	}
	if maxMB > ingressMemoryMB {
		t.Errorf("%d MB of memory", maxMB)
	}
	if maxFDs > ingressMaxFDs {
		t.Errorf("%d descriptors", maxFDs)
	}
	for i, s := range states {
		if s != "done" {
			t.Errorf("job %d from before the crowd: %s", i, s)
		}
	}
}

// buildPlain builds the dispatcher without the race detector, which multiplies the memory that a
// process uses, and returns its path.
func buildPlain(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gypsumlanding")
	if ready := os.Getenv("GYP_INGRESS_PROGRAM"); ready != "" {
		return ready
	}
	build := exec.Command("go", "build", "-o", path, "./gypsumlanding")
	build.Dir = filepath.Join("..", "cmd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// awaitTrue polls until the condition holds, and fails the test after waitTimeout.
func awaitTrue(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("timed out waiting for %s", description)
			return
		}
	}
}

// processUsage observes the memory and the descriptors of a process.
type processUsage struct {
	maxMB, maxFDs atomic.Int64
	stop          chan struct{}
	done          sync.WaitGroup
}

// watchProcess observes a process until end is called or the process exits.
func watchProcess(pid int, exited <-chan struct{}) *processUsage {
	u := &processUsage{stop: make(chan struct{})}
	u.done.Go(func() {
		for {
			u.maxMB.Store(max(u.maxMB.Load(), peakMB(pid)))
			if u.maxMB.Load() > killMB {
				_ = syscall.Kill(pid, syscall.SIGKILL)
				return
			}
			if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				u.maxFDs.Store(max(u.maxFDs.Load(), int64(len(files))))
			}
			select {
			case <-u.stop:
				return
			case <-exited:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return u
}

// end returns the largest values so far: the peak of the resident memory in MB and the number of
// open descriptors.
func (u *processUsage) end() (mb, fds int64) {
	close(u.stop)
	u.done.Wait()
	return u.maxMB.Load(), u.maxFDs.Load()
}

// peakMB returns the peak of the resident memory of a process, or 0 if it has ended.
func peakMB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb >> 10
		}
	}
	return 0
}

package test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
	"github.com/gypsumlanding/gypsumlanding/pkg/client"
)

// Limits of the processes in TestIngressOwnPath. A single body of 4 MiB is permitted there, so that
// the memory is larger than in TestIngress.
const (
	ownMemoryMB = 128
	ownMaxFDs   = 400
	ownBody     = 1 << 20 // bytes that a client sends of a body
)

// ownShapes are the crowds of TestIngressOwnPath.
var ownShapes = []struct {
	name, process, port string
	client              ingressClient
}{
	{"body stops short", "e1", "http", stoppedBody("/v1/jobs?%d", ownBody, 4<<20)},
	{"short tasks", "e1", "http", shortTasks("/v1/jobs?%d", ownBody)},
	{"catalogue entry stops short", "e1", "http", stoppedBody("/v1/catalogue/%d", 60<<10, 64<<10)},
	{"announcement stops short", "n1", "http", stoppedBody("/v1/announce?%d", 4<<10-10, 4<<10)},
	{"announced length between processes", "n1", "rpc", announcedBytes("Home.Run")},
	{"nested arrays between processes", "e1", "rpc", nestedArrays},
}

// shortTasks returns a client that sends a whole job of very many short tasks.
func shortTasks(path string, size int) ingressClient {
	body := `{"entry":"plan","tasks":[` + strings.Repeat("1,", size/2) + `1]}`
	return sendAll(func(number int) string {
		return fmt.Sprintf(ingressHeader+"Content-Length: %d\r\n\r\n", fmt.Sprintf(path, number), len(body))
	}, []byte(body))
}

// TestIngressOwnPath is TestIngress for gypentry and gypnode.
func TestIngressOwnPath(t *testing.T) {
	bin := buildOwn(t)
	for _, shape := range ownShapes {
		t.Run(shape.name, func(t *testing.T) {
			f := fleet.New(bin, t.TempDir(), fleet.Options{Entries: 1, Nodes: 1, Shards: 16, MemoryMB: ownMemoryMB, MaxFDs: ownMaxFDs})
			t.Cleanup(f.Close)
			if err := f.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := f.PutPlan(t.Context()); err != nil {
				t.Fatal(err)
			}
			checkOwnIngress(t, f, shape.process, f.Addr(shape.process+"."+shape.port), shape.client)
		})
	}
}

// runOwnJob submits a job of one task and returns its state.
func runOwnJob(f *fleet.Fleet, token string, runTimeMS int64) string {
	body, err := json.Marshal(targ.TaskBody{Token: token, RunTimeMS: runTimeMS})
	if err != nil {
		panic(err)
	}
	c := &client.Client{Entries: f.EntryURLs()}
	o, err := c.Once(context.Background(), f.EntryURLs()[0], "", client.Job{Entry: "plan", Timeout: 20 * time.Second, Tasks: []json.RawMessage{body}})
	if err != nil {
		return err.Error()
	}
	return string(o.State)
}

// checkOwnIngress sends a crowd to addr of the named process while jobs run, and checks the
// process and the jobs.
func checkOwnIngress(t *testing.T, f *fleet.Fleet, name, addr string, crowdClient ingressClient) {
	awaitTrue(t, "a first job to be answered", func() bool { return runOwnJob(f, "first", 20) == "answered" })
	var before sync.WaitGroup
	states := make([]string, 4)
	for i := range states {
		before.Go(func() { states[i] = runOwnJob(f, fmt.Sprint("before-", i), 2000) })
	}
	time.Sleep(500 * time.Millisecond)
	proc, _ := f.Proc(name)
	usage := watchProcess(proc.Pid(), proc.Done())
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for i := range ingressClients {
		crowd.Go(func() { crowdClient(addr, i, stop) })
	}
	time.Sleep(ingressHold)
	next := 0
	awaitTrue(t, "an ordinary job to be answered", func() bool {
		select {
		case <-proc.Done():
			return true
		default:
		}
		next++
		return runOwnJob(f, fmt.Sprint("next-", next), 20) == "answered"
	})
	close(stop)
	crowd.Wait()
	before.Wait()
	maxMB, maxFDs := usage.end()
	t.Logf("peak: %d MB, %d descriptors, jobs from before: %v", maxMB, maxFDs, states)
	select {
	case <-proc.Done():
		t.Error("the process has ended")
	default:
	}
	if maxMB > ownMemoryMB {
		t.Errorf("%d MB of memory", maxMB)
	}
	if maxFDs > ownMaxFDs {
		t.Errorf("%d descriptors", maxFDs)
	}
	for i, s := range states {
		if s != "answered" {
			t.Errorf("job %d from before the crowd: %s", i, s)
		}
	}
}

// buildOwn builds the programs of the product's own path without the race detector, as
// buildPlain does, and returns their folder.
func buildOwn(t *testing.T) string {
	t.Helper()
	if ready := os.Getenv("GYP_INGRESS_PROGRAMS"); ready != "" {
		return ready
	}
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "./gypentry", "./gypnode", "./gypstore", "./gyptarget")
	build.Dir = filepath.Join("..", "cmd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
)

const (
	platformEntries = 3
	platformNodes   = 11
	platformJobs    = 200
	platformEvery   = 25 * time.Millisecond // between two jobs
	platformTasks   = 4                     // of a job
	platformTaskMS  = 100                   // run time of a task
	platformTaskCPU = 700                   // thousandths of a core, of a task
)

// runPlatform serves jobs on a stand-in of the users' platform.
func runPlatform(dir string) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	y, err := psim.New(dir, filepath.Join(filepath.Dir(exe), "gypsumlanding"), psim.Options{Entries: platformEntries, Nodes: platformNodes})
	if err != nil {
		return err
	}
	defer y.Close()
	for limit := time.Now().Add(readyTimeout); !allReady(y); time.Sleep(platformEvery) {
		if time.Now().After(limit) {
			return merry.New("the entries did not become ready")
		}
	}
	fmt.Printf("the platform path: %d jobs of %d tasks\n", platformJobs, platformTasks)
	var jobs sync.WaitGroup
	for i := range platformJobs {
		jobs.Go(func() {
			y.SubmitJob(fmt.Sprintf("%016x", i), platformEntries, platformTasks, platformTaskMS, platformTaskCPU)
		})
		time.Sleep(platformEvery)
	}
	jobs.Wait()
	v := y.Verdict()
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if len(v.Violations) > 0 {
		return merry.New(fmt.Sprintf("%d faults on the platform path", len(v.Violations)))
	}
	return nil
}

func allReady(y *psim.Platform) bool {
	for i := range platformEntries {
		if !y.EntryReady(i + 1) {
			return false
		}
	}
	return true
}

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
	platformEntries      = 3
	platformNodes        = 11
	platformJobs         = 200
	platformJobInterval  = 25 * time.Millisecond // between two submissions
	platformTasksPerJob  = 4
	platformTaskMS       = 100 // run time of a task
	platformTaskMilliCPU = 700 // CPU demand of a task, in thousandths of a core
)

// runPlatform submits jobs to the dispatcher on a stand-in of the users' platform and
// prints their outcomes. It returns an error if a rule was violated.
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
	for deadline := time.Now().Add(readyTimeout); !y.Ready(); time.Sleep(platformJobInterval) {
		if time.Now().After(deadline) {
			return merry.New("the platform did not become ready")
		}
	}
	fmt.Printf("the platform path: %d jobs of %d tasks\n", platformJobs, platformTasksPerJob)
	var jobs sync.WaitGroup
	for i := range platformJobs {
		jobs.Go(func() {
			y.SubmitJob(fmt.Sprintf("%016x", i), platformTasksPerJob, platformTaskMS, platformTaskMilliCPU)
		})
		time.Sleep(platformJobInterval)
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

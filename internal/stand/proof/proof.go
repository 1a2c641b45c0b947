package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// FileEnvVar is the name of the environment variable that holds the path of the file
// to which results are appended.
const FileEnvVar = "GYP_PROOF"

// Points are the points of the users' brief in its order; the last one is counted
// over all runs.
var Points = []string{"P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8", "P9"}

// Result is the result of one test for one point.
type Result struct {
	Point      string `json:"point"` // one of Points
	Held       bool   `json:"held"`
	Starts     int    `json:"starts"` // number of task starts
	Runs       int    `json:"runs"`   // number of jobs
	Seed       uint64 `json:"seed"`
	Conditions string `json:"tried"` // describes what was tested
}

// Record appends results to the file named by the environment variable FileEnvVar,
// one JSON object per line. It does nothing if the variable is empty.
func Record(results ...Result) error {
	path := os.Getenv(FileEnvVar)
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	for _, r := range results {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if _, err := file.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	return file.Close()
}

// Read reads results that Record wrote.
func Read(r io.Reader) ([]Result, error) {
	var results []Result
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var r Result
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, scanner.Err()
}

// Summary returns a line that summarises the results for one point: it is "held" if
// it held in all of them, "red" if it did not hold in one, and "unproved" if there are
// none.
func Summary(point string, results []Result) string {
	verdict := "unproved"
	var starts, runs int
	var seeds, conditions []string
	for _, r := range results {
		if r.Point != point {
			continue
		}
		starts += r.Starts
		runs += r.Runs
		seeds = appendNew(seeds, fmt.Sprint(r.Seed))
		conditions = appendNew(conditions, r.Conditions)
		if !r.Held {
			verdict = "red"
		} else if verdict == "unproved" {
			verdict = "held"
		}
	}
	return fmt.Sprintf("%s %s  starts=%d runs=%d seed=%s  %s",
		point, verdict, starts, runs, strings.Join(seeds, ","), strings.Join(conditions, "; "))
}

// appendNew appends s to list unless it is there already.
func appendNew(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

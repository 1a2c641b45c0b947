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

// FileVariable names the environment variable with the file that notes go to.
const FileEnvVar = "GYP_PROOF"

// Points are the brief's points in its order, and one counted over all runs.
var Points = []string{"P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8", "P9"}

// Note is what one proof of one point saw.
type Result struct {
	Point      string `json:"point"`
	Held       bool   `json:"held"`
	Starts     int    `json:"starts"`
	Runs       int    `json:"runs"`
	Seed       uint64 `json:"seed"`
	Conditions string `json:"tried"`
}

// Record adds notes to the file named by FileVariable, if it names one.
func Record(notes ...Result) error {
	path := os.Getenv(FileEnvVar)
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	for _, n := range notes {
		line, err := json.Marshal(n)
		if err != nil {
			return err
		}
		if _, err := file.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	return file.Close()
}

// Read reads the notes of a file.
func Read(r io.Reader) ([]Result, error) {
	var notes []Result
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var n Result
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			return nil, err
		}
		notes = append(notes, n)
	}
	return notes, lines.Err()
}

// Line returns the line of one point: held if all its notes are, red if one is
// not, unproved if there is none.
func Summary(point string, notes []Result) string {
	verdict := "unproved"
	var starts, runs int
	var seeds, tried []string
	for _, n := range notes {
		if n.Point != point {
			continue
		}
		starts += n.Starts
		runs += n.Runs
		seeds = add(seeds, fmt.Sprint(n.Seed))
		tried = add(tried, n.Conditions)
		if !n.Held {
			verdict = "red"
		} else if verdict == "unproved" {
			verdict = "held"
		}
	}
	return fmt.Sprintf("%s %s  starts=%d runs=%d seed=%s  %s",
		point, verdict, starts, runs, strings.Join(seeds, ","), strings.Join(tried, "; "))
}

func add(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

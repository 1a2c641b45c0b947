// Command stand-2 plays the cases 6 to 10 of the review: it starts the dispatcher's programs as
// processes, with stand-ins of the platform, the workers and the clients on loopback addresses.
// See REPORT-2.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes, as the issue asks for them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(*cluster) (broken int, err error){
	"cancelcut":     cancelCut,
	"cancelrestart": cancelRestart,
	"label":         labelChurn,
	"perserver":     perServerChurn,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, program, recordPath string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		rec.add("cannot run: no temporary folder")
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	c := &cluster{dir: dir, program: program, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer c.close()
	broken, err := cases[name](c)
	if err != nil {
		rec.add("cannot run: %v", err)
		return exitNotRun
	}
	rec.add("broken %d times, trouble %v", broken, c.trouble)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

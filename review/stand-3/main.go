// Command stand3 plays the cases of the third review: it starts the programs of the deploy file as
// processes, beside small stand-ins of the platform, the workers and the clients.
//
// usage: stand3 CASE ROOT RECORD
//
// ROOT is the repository's root, RECORD the file to write. It exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases play a case and report whether the rule was broken.
var cases = map[string]func(root string, rec *recorder, trouble bool) (broken bool, err error){
	"stop":    playStop,
	"dropped": playDropped,
}

// current is the cluster of the case that is played.
var current *cluster

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE ROOT RECORD")
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{file: file, began: time.Now()}
	time.AfterFunc(115*time.Second, func() {
		rec.log("the case couldn't run: it takes too long")
		if current != nil {
			current.close()
		}
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.log("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case broken:
		rec.log("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return 0
}

// Command stand runs one case of the review: it starts a small deployment on loopback
// addresses, with stand-ins of the platform's store, the workers and the clients, and says
// whether a rule was broken. It exits with 1 if one was, with 0 if all held, and with 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const timeLimit = 110 * time.Second

// scenario plays a case with or without its disruption, and returns what was broken.
type scenario func(c *cluster, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO RECORD-FILE, in the root of the repository")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &recorder{begin: time.Now()}
	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type outcome struct {
		broken []string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](c, trouble)
		ended <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var o outcome
	select {
	case o = <-ended:
	case <-time.After(timeLimit):
		o.err = fmt.Errorf("not over after %v", timeLimit)
	case <-interrupted:
		o.err = fmt.Errorf("interrupted")
	}
	c.close()
	verdict := append([]string{}, o.broken...)
	code := 0
	switch {
	case o.err != nil:
		verdict, code = append(verdict, "could not run: "+o.err.Error()), 2
	case len(o.broken) > 0:
		code = 1
	default:
		verdict = append(verdict, "held")
	}
	if err := rec.write(os.Args[2], verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, v := range verdict[:min(len(verdict), 10)] {
		fmt.Println(v)
	}
	return code
}

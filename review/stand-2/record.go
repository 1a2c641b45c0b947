package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run, with ms since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// ms returns the time since the start of the record.
func (r *record) ms() int64 { return time.Since(r.start).Milliseconds() }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%6d ms  "+format+"\n", append([]any{r.ms()}, args...)...)
	_ = r.out.Flush()
}

func (r *record) close() { _ = r.file.Close() }

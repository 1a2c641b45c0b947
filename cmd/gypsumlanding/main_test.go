package main

import (
	"io"
	"syscall"
	"testing"
	"time"
)

// The settings may change while a process starts. The signal that tells it so ended it.
func TestHangupDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	if code := run([]string{roleEntry, "-check", "-settings", t.TempDir()}, io.Discard, io.Discard); code == 0 {
		t.Fatal("a folder is accepted as settings")
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
}

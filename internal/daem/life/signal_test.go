package life

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
)

// A signal to stop that came just after the servers had begun to serve ended the process, with the
// requests that it had read.
func TestSignalDuringTheStartStopsTheDaemon(t *testing.T) {
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGTERM) // the test goes on whatever the daemon does
	defer signal.Stop(ignored)
	var drains atomic.Int32
	d := Daemon{
		Name: "d", Servers: []transport.Server{closableServer{make(chan struct{})}},
		Started: func(context.Context) {
			if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			<-ignored
		},
		Drain: func(context.Context) { drains.Add(1) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	select {
	case err := <-ended:
		if err != nil || drains.Load() != 1 {
			t.Errorf("got %v after %d drains", err, drains.Load())
		}
	case <-time.After(5 * time.Second):
		t.Error("the daemon goes on")
	}
}

// Signals that come one after the other drain the daemon once.
func TestSecondSignalDoesNotDrainAgain(t *testing.T) {
	stopping := make(chan struct{})
	var drains atomic.Int32
	d := Daemon{
		Name: "d", Servers: []transport.Server{closableServer{make(chan struct{})}},
		Drain: func(context.Context) {
			drains.Add(1)
			close(stopping)
			if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			time.Sleep(50 * time.Millisecond)
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Run(context.Background()) }()
	signalUntil(t, stopping)
	select {
	case err := <-ended:
		if err != nil || drains.Load() != 1 {
			t.Errorf("got %v after %d drains", err, drains.Load())
		}
	case <-time.After(5 * time.Second):
		t.Error("the daemon goes on")
	}
}

package test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

// pollInterval is the time between two requests for the status of all processes.
const pollInterval = 20 * time.Millisecond

// versionWatch polls the versions that all entries and nodes report, until it is stopped
// or a version has decreased.
type versionWatch struct {
	cancel     context.CancelFunc
	done       chan struct{} // closed when polling has ended
	regression string        // describes the first decrease; empty if there was none
}

// processVersions are the versions that one incarnation of a process last reported.
type processVersions struct {
	incarnation, epoch, catalogue uint64
}

// watchVersions starts to poll the processes of a fleet. The caller has to call stop.
func watchVersions(f *fleet.Fleet) *versionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	v := &versionWatch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		latest := map[string]processVersions{}
		for ctx.Err() == nil && v.regression == "" {
			v.checkAll(ctx, f, latest)
			select {
			case <-ctx.Done():
			case <-time.After(pollInterval):
			}
		}
	}()
	return v
}

// checkAll compares the versions that each running process reports with the latest ones,
// by process and PID, and updates these.
func (v *versionWatch) checkAll(ctx context.Context, f *fleet.Fleet, latest map[string]processVersions) {
	for _, name := range slices.Concat(f.ProcNames("e"), f.ProcNames("n")) {
		p, ok := f.Proc(name)
		if !ok {
			continue
		}
		key := fmt.Sprintf("%s/%d", name, p.Pid())
		var s fleet.NodeStatus
		if f.Get(ctx, name+".http", "/v1/status", &s) != nil {
			continue
		}
		previous := latest[key]
		if current, ok := f.Proc(name); !ok || current != p {
			continue
		}
		if s.Epoch < previous.epoch || s.Catalogue < previous.catalogue {
			v.regression = fmt.Sprintf("%s went from epoch %d and catalogue %d back to %d and %d",
				name, previous.epoch, previous.catalogue, s.Epoch, s.Catalogue)
			return
		}
		latest[key] = processVersions{incarnation: s.Incarnation, epoch: s.Epoch, catalogue: s.Catalogue}
	}
}

// stop ends polling and returns the description of the first version that decreased, or
// the empty string.
func (v *versionWatch) stop() string {
	v.cancel()
	<-v.done
	return v.regression
}

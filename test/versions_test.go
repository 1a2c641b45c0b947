package test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

const lookInterval = 20 * time.Millisecond

// versions watches what each process shows until it is stopped.
type versions struct {
	cancel context.CancelFunc
	done   chan struct{}
	fault  string
}

// shown is the newest that one incarnation of a process showed.
type shown struct {
	inc, epoch, catalogue uint64
}

func watchVersions(f *fleet.Fleet) *versions {
	ctx, cancel := context.WithCancel(context.Background())
	v := &versions{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		seen := map[string]shown{}
		for ctx.Err() == nil && v.fault == "" {
			v.look(ctx, f, seen)
			select {
			case <-ctx.Done():
			case <-time.After(lookInterval):
			}
		}
	}()
	return v
}

func (v *versions) look(ctx context.Context, f *fleet.Fleet, seen map[string]shown) {
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
		old := seen[key]
		if now, ok := f.Proc(name); !ok || now != p {
			continue
		}
		if s.Epoch < old.epoch || s.Catalogue < old.catalogue {
			v.fault = fmt.Sprintf("%s went from epoch %d and catalogue %d back to %d and %d",
				name, old.epoch, old.catalogue, s.Epoch, s.Catalogue)
			return
		}
		seen[key] = shown{inc: s.Incarnation, epoch: s.Epoch, catalogue: s.Catalogue}
	}
}

// stop ends the watch and returns what went back, or "".
func (v *versions) stop() string {
	v.cancel()
	<-v.done
	return v.fault
}

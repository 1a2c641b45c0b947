package main

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/platform"
)

// recordingEntry records what the operator's table changes.
type recordingEntry struct{ calls []string }

func (e *recordingEntry) ApplyConfig(t *route.Table, _ string) bool {
	e.calls = append(e.calls, fmt.Sprint("config ", t.Version))
	return true
}

func (e *recordingEntry) ApplyOrder(o evac.Order, _ string) {
	e.calls = append(e.calls, fmt.Sprint(o.Domain, " ", o.Version, " ", o.Evacuated))
}

func (e *recordingEntry) ApplyListing(version int64, listed []string, _ string) {
	e.calls = append(e.calls, fmt.Sprint("listing ", version, " ", listed))
}

// Guards against an entry that serves before it knows the evacuations of the same listing, and
// against malformed rows that stop an evacuation or end one.
func TestEvacuationsPrecedeConfig(t *testing.T) {
	config := platform.Row{Table: "op", Key: "config", Value: []byte(`{"version":7}`), Version: 2}
	malformed := platform.Row{Table: "op", Key: "config", Version: 9, Malformed: errors.New("no base64")}
	e := &recordingEntry{}
	var events []string
	rows := operatorRows{entry: e, event: func(event string, _ ...any) { events = append(events, event) }}
	rows.applyListing(8, []platform.Row{
		config, {Table: "op", Key: "evacuate/"}, {Table: "op", Key: "evacuate/y"}, {Table: "op", Key: "evacuate/z", Version: 5, Malformed: errors.New("no base64")},
	})
	rows.apply(malformed)
	rows.apply(platform.Row{Table: "op", Key: "evacuate/z", Version: 10, Deleted: true})
	want := []string{"z 5 true", "listing 8 [ y z]", "config 7", "z 10 false"}
	if !slices.Equal(e.calls, want) {
		t.Errorf("got %q, want %q", e.calls, want)
	}
	if want := []string{"evacuation_invalid", "evacuation_invalid", "config_invalid"}; !slices.Equal(events, want) {
		t.Errorf("events %q, want %q", events, want)
	}
}

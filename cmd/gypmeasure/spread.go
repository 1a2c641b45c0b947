package main

import (
	"context"
	"net/http"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

const edits = 10

// spreadDoc is how long accepted edits take to be in force at every process.
type spreadDoc struct {
	Nodes int     `json:"nodes"`
	Edits int     `json:"edits"`
	Mean  float64 `json:"mean_s"`
	Worst float64 `json:"worst_s"`
}

// spread returns the measurement of edits at a fleet of n nodes, made through
// one entry.
func spread(n int) func(ctx context.Context, bin string) (any, error) {
	return func(ctx context.Context, bin string) (any, error) {
		doc := spreadDoc{Nodes: n, Edits: edits}
		err := withFleet(ctx, bin, fleet.Options{Nodes: n}, func(f *fleet.Fleet) error {
			for i := range edits {
				took, err := edit(ctx, f, uint64(i+1))
				if err != nil {
					return err
				}
				doc.Mean += took.Seconds() / edits
				doc.Worst = max(doc.Worst, took.Seconds())
			}
			return nil
		})
		return doc, err
	}
}

// edit replaces the entry "plan", which has the given version, and returns the
// time from its acceptance until every process shows the next version.
func edit(ctx context.Context, f *fleet.Fleet, version uint64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	entry := map[string]any{
		"name": "plan", "owner": "leistenwerk", "class": "urgent", "service": "dehnplan", "version": version,
	}
	if err := f.Send(ctx, http.MethodPut, "e1.http", "/v1/catalogue/plan", entry, nil); err != nil {
		return 0, err
	}
	accepted := time.Now()
	err := f.AwaitCatalogue(ctx, version+1)
	return time.Since(accepted), err
}

package main

import (
	"context"
	"net/http"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

// editCount is the number of edits in one measurement.
const editCount = 10

// propagationDoc says how long accepted edits take until they are active at every process.
type propagationDoc struct {
	Nodes       int     `json:"nodes"`
	Edits       int     `json:"edits"`
	MeanSeconds float64 `json:"mean_s"`
	MaxSeconds  float64 `json:"worst_s"`
}

// measurePropagation returns the measurement of edits that are made through one entry of a
// fleet with n nodes.
func measurePropagation(n int) func(ctx context.Context, bin string) (any, error) {
	return func(ctx context.Context, bin string) (any, error) {
		doc := propagationDoc{Nodes: n, Edits: editCount}
		err := withFleet(ctx, bin, fleet.Options{Nodes: n}, func(f *fleet.Fleet) error {
			for i := range editCount {
				duration, err := timeEdit(ctx, f, uint64(i+1))
				if err != nil {
					return err
				}
				doc.MeanSeconds += duration.Seconds() / editCount
				doc.MaxSeconds = max(doc.MaxSeconds, duration.Seconds())
			}
			return nil
		})
		return doc, err
	}
}

// timeEdit replaces the given version of the catalogue entry "plan", and returns the time
// from the acceptance of the edit until every process reports the next version.
func timeEdit(ctx context.Context, f *fleet.Fleet, version uint64) (time.Duration, error) {
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

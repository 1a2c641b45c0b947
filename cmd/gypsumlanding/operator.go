package main

import (
	"context"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/proc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/platform"
)

// operatorEntry is the part of a proc.Entry that the operator's table changes.
type operatorEntry interface {
	ApplyConfig(t *route.Table, from string) bool
	ApplyOrder(o evac.Order, from string)
	ApplyListing(version int64, listed []string, from string)
}

// operatorRows passes the rows of the operator's table to an entry.
type operatorRows struct {
	entry operatorEntry
	event func(event string, pairs ...any)
}

// followOperator passes the configuration and the evacuations in the store to e until ctx
// ends.
func (p process) followOperator(ctx context.Context, store *platform.Store, e *proc.Entry) {
	rows := operatorRows{entry: e, event: p.log.Event}
	store.Follow(ctx, platform.OperatorTable, configPollWait, platform.Follower{
		OnRow: rows.apply, OnListing: rows.applyListing, OnResult: p.logStoreResults("config"),
	})
}

// apply applies a row that was written or deleted.
func (o operatorRows) apply(r platform.Row) {
	if _, ok := o.applyOrder(r); !ok {
		o.applyConfig(r)
	}
}

// applyListing applies a complete listing. The configuration comes last, so that an entry
// that has one knows the evacuations that were requested before.
func (o operatorRows) applyListing(version int64, rows []platform.Row) {
	var listed []string
	for _, r := range rows {
		if domain, ok := o.applyOrder(r); ok && !r.Deleted {
			listed = append(listed, domain)
		}
	}
	o.entry.ApplyListing(version, listed, fromStore)
	for _, r := range rows {
		o.applyConfig(r)
	}
}

// fromStore is the source of what the store says, in logs.
const fromStore = "store"

// applyOrder applies r if it is about an evacuation. It returns the failure domain and
// reports whether r is.
func (o operatorRows) applyOrder(r platform.Row) (string, bool) {
	order, ok, err := platform.Evacuation(r)
	switch {
	case !ok:
		return "", false
	case err != nil:
		o.event("evacuation_invalid", "from", fromStore, "err", err)
	default:
		o.entry.ApplyOrder(order, fromStore)
	}
	return order.Domain, true
}

// applyConfig applies r if it is a configuration.
func (o operatorRows) applyConfig(r platform.Row) {
	if !platform.IsConfig(r) {
		return
	}
	t, err := platform.DecodeConfig(r.Value)
	if r.Malformed != nil {
		err = r.Malformed
	}
	if err != nil {
		o.event("config_invalid", "from", fromStore, "err", err)
		return
	}
	o.entry.ApplyConfig(t, fromStore)
}

package link

import (
	"context"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// waitUntilSyncDue waits until the next Sync call is due, Run is woken, or ctx ends.
func (l *Link) waitUntilSyncDue(ctx context.Context) {
	for ctx.Err() == nil {
		untilDue := l.untilDue()
		if untilDue <= 0 || l.waker.Await(ctx, untilDue) {
			return
		}
	}
}

// sync makes one Sync call, which renews the lease, sends the cancellations and
// updates the load.
func (l *Link) sync(ctx context.Context) {
	sender, ok := l.sender(0)
	if !ok {
		sender = msgs.Sender{Entry: l.Entry, Incarnation: l.Incarnation}
	}
	cancels, order := l.cancelsToSend(), l.orderToSend()
	m := &msgs.Sync{Sender: sender, Cancel: cancels, Order: order, WantKinds: l.wantsKinds(), LossesSeen: l.newestLoss()}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply := &msgs.Load{}
	err := l.Call(ctx, l.Addr, SyncMethod, m, reply)
	l.mu.Lock()
	l.lastSync = l.now()
	l.mu.Unlock()
	if err != nil {
		l.recordFailure(err)
		return
	}
	l.confirmCancels(cancels)
	losses := reply.Losses
	reply.Losses = nil
	l.applyLoad(*reply, true)
	l.tellLosses(losses)
	l.confirmLosses(reply.Incarnation, losses)
	l.confirmOrder(evac.Order(order))
}

// recordFailure records a Sync call without an answer. It closes the connection,
// which may never work again, so that the next call opens a new one.
func (l *Link) recordFailure(err error) {
	l.mu.Lock()
	l.failures++
	first := l.failures == 1
	target, age, outstanding := l.load.TargetIncarnation, l.now().Sub(l.lastAnswer), l.outstanding
	l.mu.Unlock()
	if first {
		l.event("gate_silent", "gate", l.Addr, "target", target, "answered", age, "tasks", outstanding, "err", err)
	}
	l.Drop(l.Addr)
}

// applyLoad stores a load that the gate sent. A new incarnation is accepted only
// from the reply to a Sync call: these calls are sequential, so their replies
// arrive in order, while a late TaskReply may come from a previous incarnation.
func (l *Link) applyLoad(load msgs.Load, fromSync bool) {
	l.mu.Lock()
	now := l.now()
	recovered := l.failures > 0
	restarted := l.load.Incarnation != load.Incarnation
	switch {
	case restarted && !fromSync, !restarted && load.Timestamp <= l.load.Timestamp:
		l.mu.Unlock()
		return
	case restarted && l.loadReceived > 0:
		l.previousEnd = max(l.previousEnd, l.echoedReceived.Add(gate.MaxOrphanTime))
		l.echoedReceived = 0
		l.confirmed = evac.Order{}
		l.lossesSeen = 0
		if l.load.BlockedReason == cause.TargetCrashed {
			l.downIncarnation = l.load.Incarnation
		}
	}
	l.updateRecheck(load, now)
	l.load, l.loadReceived, l.lastAnswer, l.failures = load, now, now, 0
	remaining := l.recent[:0]
	for _, t := range l.recent {
		if now.Sub(t.sentAt) < loadLag {
			remaining = append(remaining, t)
		}
	}
	l.recent = remaining
	l.mu.Unlock()
	if restarted || recovered {
		l.event("gate_answers", "gate", l.Addr, "target", load.TargetIncarnation, "life", load.Incarnation, "reborn", restarted)
	}
}

// updateRecheck sets recheckUntil when a load that is received at now replaces the
// present one. The caller holds mu.
func (l *Link) updateRecheck(load msgs.Load, now boot.Time) {
	switch {
	case !cause.PreventsStarts(load.BlockedReason):
		l.recheckUntil = 0
	case load.BlockedReason != l.load.BlockedReason || load.Incarnation != l.load.Incarnation:
		l.recheckUntil = now.Add(blockedSyncPeriod)
	}
}

// untilDue returns the time until the next Sync call is due.
func (l *Link) untilDue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.failures > 0 {
		return l.lastSync.Add(min(time.Duration(l.failures)*syncInterval/2, maxRetryInterval)).Sub(now)
	}
	interval := idleSyncInterval
	if l.outstanding > 0 {
		interval = syncInterval
	}
	if now < l.recheckUntil {
		interval = blockedSyncInterval
	}
	if l.orderUnconfirmed() || l.load.LastLoss > l.lossesSeen {
		interval = 0
	}
	return max(min(l.lastEcho, l.loadReceived).Add(interval), l.lastSync.Add(minSyncInterval)).Sub(now)
}

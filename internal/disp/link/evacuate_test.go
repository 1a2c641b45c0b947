package link

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Guards against a gate that is informed late: the first call after an order is known is due
// at once, also when the gate has just answered or was restarted, and each message carries
// the order. Once the gate has answered, calls are as seldom as before.
func TestGateIsToldOfOrderAtOnce(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	l.sync(context.Background()) // echoes the timestamp of the first one
	if l.untilDue() < idleSyncInterval/2 {
		t.Errorf("due in %v without an order", l.untilDue())
	}
	for _, o := range []evac.Order{{Domain: "z", Version: 3, Evacuated: true}, {Domain: "z", Version: 4}} {
		l.Orders.Apply(o)
		l.OrdersChanged()
		if l.untilDue() > minSyncInterval {
			t.Errorf("due in %v after %+v", l.untilDue(), o)
		}
		l.sync(context.Background())
		l.RunTask(context.Background(), msgs.Task{ID: 3}, nil)
		if f.orders[len(f.orders)-1] != msgs.Order(o) || f.tasks[len(f.tasks)-1].Order != msgs.Order(o) {
			t.Errorf("sent %+v and %+v, want %+v", f.orders, f.tasks[len(f.tasks)-1].Order, o)
		}
		if l.untilDue() < idleSyncInterval/2 {
			t.Errorf("due in %v although the gate knows %+v", l.untilDue(), o)
		}
	}
	l.Orders.Apply(evac.Order{Domain: "y", Version: 9, Evacuated: true})
	if l.OrdersChanged(); l.untilDue() < idleSyncInterval/2 {
		t.Errorf("due in %v after an order of another domain", l.untilDue())
	}
	f.incarnation++
	l.sync(context.Background())
	if sent := f.orders[len(f.orders)-1]; sent.Version != 4 {
		t.Errorf("a restarted gate is sent %+v first", sent)
	}
}

// Guards against an order that is taken for delivered although the call had no answer.
func TestOrderIsSentUntilAnswered(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	l.Orders.Apply(evac.Order{Domain: "z", Version: 3, Evacuated: true})
	f.silent = true
	l.sync(context.Background())
	f.silent = false
	if !l.orderUnconfirmed() {
		t.Error("the order counts as delivered")
	}
	if l.sync(context.Background()); l.orderUnconfirmed() {
		t.Error("the order counts as not delivered")
	}
}

// Guards against tasks for gates of an evacuated domain: it is known by the order, or by the
// gate's word.
func TestViewShowsEvacuation(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	if l.View(f.now).Evacuated {
		t.Error("evacuated without an order")
	}
	l.Orders.Apply(evac.Order{Domain: "z", Version: 3, Evacuated: true})
	if !l.View(f.now).Evacuated {
		t.Error("not evacuated by the order")
	}
	l.Orders.Apply(evac.Order{Domain: "z", Version: 4})
	if l.View(f.now).Evacuated {
		t.Error("still evacuated after it was taken back")
	}
	f.blocked = cause.Evacuated
	l.sync(context.Background())
	if !l.View(f.now).Evacuated {
		t.Error("not evacuated by the gate's word")
	}
}

// Guards against a link that waits for its next call although the order has changed.
func TestRunTellsOfOrderAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *runningLink) {
		time.Sleep(idleSyncInterval + time.Millisecond)
		before := l.gate.countSyncs()
		l.Orders.Apply(evac.Order{Domain: "z", Version: 3, Evacuated: true})
		l.OrdersChanged()
		time.Sleep(2 * minSyncInterval)
		if n := l.gate.countSyncs() - before; n != 1 {
			t.Errorf("%d calls", n)
		}
	})
}

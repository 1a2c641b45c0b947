package coord

import (
	"context"
	"testing"
)

// The request of a cancelled job may be read only after the order to cancel it, or come again.
func TestCancelledJobIsNotRunWhenItsRequestComesLater(t *testing.T) {
	f := newFakeGates(t, 2)
	c := f.coordinator()
	if c.Cancel("j") {
		t.Error("the job is known before its request")
	}
	for range 2 {
		if a := c.Submit(context.Background(), newTestJob(2, 100)); a.State != Cancelled {
			t.Errorf("got %+v", a)
		}
	}
	if n := f.receivedCount(); n != 0 {
		t.Errorf("%d tasks are sent", n)
	}
}

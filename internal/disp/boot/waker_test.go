package boot_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

func TestWaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var w boot.Waker
		check := func(name string, woken bool, after time.Duration) {
			t.Helper()
			start := time.Now()
			got := w.Await(ctx, time.Second)
			if took := time.Since(start); got != woken || took != after {
				t.Errorf("%s: got %v after %v, want %v after %v", name, got, took, woken, after)
			}
		}
		check("never woken", false, time.Second)
		w.Wake()
		w.Wake()
		check("woken before", true, 0)
		check("woken twice before the last wait", false, time.Second)
		time.AfterFunc(time.Millisecond, w.Wake)
		check("woken during the wait", true, time.Millisecond)
		cancel()
		check("cancelled", false, 0)
	})
}

package guard

import "sync/atomic"

// Budget is a number of bytes that are shared by those who reserve them. The zero value has no
// bound. It is safe for concurrent use.
type Budget struct {
	Total int64 // bytes; 0 means no bound

	used atomic.Int64
}

// Reserve reserves n bytes for a holder that has reserved the given number already, and reports
// whether it did. If nobody else has reserved any, it always does, so that one request within the
// limits of the configuration is served in any budget.
func (b *Budget) Reserve(n, held int64) bool {
	for {
		used := b.used.Load()
		if b.Total > 0 && used > held && used+n > b.Total {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

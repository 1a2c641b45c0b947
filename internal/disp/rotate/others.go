package rotate

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// retention is how long an entry counts as out of rotation after it has said so. It says so
// again every RepeatInterval, or earlier.
const retention = 4 * RepeatInterval

// RepeatInterval is the longest time after which an entry that is out of rotation tells the
// others again.
const RepeatInterval = 500 * time.Millisecond

// Others records which other entries are out of rotation, by their addresses. The zero value
// is ready to use. It is safe for concurrent use.
type Others struct {
	// Now returns the present time; nil means boot.Now.
	Now func() boot.Time

	mu       sync.Mutex
	lastWord map[string]boot.Time // when an entry last said that it is out
}

// Record records that the entry at addr says that it is out of rotation.
func (o *Others) Record(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastWord == nil {
		o.lastWord = map[string]boot.Time{}
	}
	o.lastWord[addr] = o.now()
}

// Out returns the addresses of the entries that are out of rotation, in any order.
func (o *Others) Out() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.lastWord) == 0 {
		return nil
	}
	var addrs []string
	now := o.now()
	for addr, at := range o.lastWord {
		if now.Sub(at) >= retention {
			delete(o.lastWord, addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

func (o *Others) now() boot.Time {
	if o.Now != nil {
		return o.Now()
	}
	return boot.Now()
}

package memb

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ByHash returns addrs in the order of the hashes of prefix and the address. The order is
// the same in all processes, and changes little when addresses are added or removed.
func ByHash(prefix string, addrs []string) []string {
	hashes := make(map[string]uint64, len(addrs))
	for _, addr := range addrs {
		hashes[addr] = xxhash.Sum64String(prefix + addr)
	}
	ordered := slices.Clone(addrs)
	slices.SortFunc(ordered, func(a, b string) int { return cmp.Compare(hashes[a], hashes[b]) })
	return ordered
}

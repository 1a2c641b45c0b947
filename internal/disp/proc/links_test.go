package proc

import (
	"fmt"
	"slices"
	"testing"
)

func testAddrs(prefix string, n int) []string {
	var addrs []string
	for i := range n {
		addrs = append(addrs, fmt.Sprintf("%s%d:7720", prefix, i))
	}
	return addrs
}

func TestSelectNodesReturnsAllOfFew(t *testing.T) {
	addrs := testAddrs("n", maxLinks)
	if got := selectNodes("e", addrs, maxLinks); !slices.Equal(got, addrs) {
		t.Errorf("got %d nodes of %d", len(got), len(addrs))
	}
}

// In a region of the planned size at least one entry selects each node.
func TestSelectNodesLeavesNoNodeOut(t *testing.T) {
	const nodes, entries = 1160, 202 // the ratio of entries to nodes in the larger deployments
	addrs := testAddrs("n", nodes)
	entryCount := map[string]int{}
	for _, e := range testAddrs("e", entries) {
		for _, n := range selectNodes(e, addrs, maxLinks) {
			entryCount[n]++
		}
	}
	for _, n := range addrs {
		if entryCount[n] == 0 {
			t.Errorf("no entry selects %s", n)
		}
	}
}

func TestSelectNodesIsStableWhenMembersChange(t *testing.T) {
	addrs := testAddrs("n", 200)
	before := selectNodes("e", addrs, maxLinks)
	after := selectNodes("e", append(addrs, "new:7720"), maxLinks)
	kept := 0
	for _, n := range after {
		if slices.Contains(before, n) {
			kept++
		}
	}
	if kept < maxLinks-1 {
		t.Errorf("%d of %d nodes are still selected after one was added", kept, maxLinks)
	}
}

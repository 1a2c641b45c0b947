package jobkey_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

func ExampleParse() {
	key, err := jobkey.Parse("g1.steiermark.2a.lf0xk3m2.ABCDEFGHIJKLMNOP")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(key.Region(), key.Epoch(), key.Plain())
	// Output: steiermark 82 false
}

func TestNewKeyRoundTrips(t *testing.T) {
	deadline := time.Now().Add(time.Second)
	key := jobkey.New("st-1", 1<<40, deadline)
	got, err := jobkey.Parse(key.String())
	if err != nil || got != key {
		t.Fatalf("got %+v, %v, want %+v", got, err, key)
	}
	if got.Deadline().UnixMilli() != deadline.UnixMilli() || got.Epoch() != 1<<40 || got.IsZero() {
		t.Errorf("got %+v", got)
	}
}

func TestParseRejectsInvalidKeys(t *testing.T) {
	for _, text := range []string{
		"", "a b", "ä", strings.Repeat("x", jobkey.MaxLength+1), "g1.", "g1.st.1.2", "g1.ST.1.2.x",
		"g1.st.-1.2.x", "g1.st.1.-2.x", "g1.st.1.2.", "g1.st.1.2.x.y", "g1.st.zzzzzzzzzzzzzzzz.2.x",
	} {
		if key, err := jobkey.Parse(text); err == nil {
			t.Errorf("invalid key %q was parsed as %+v", text, key)
		}
	}
}

func TestKeysSpreadOverShards(t *testing.T) {
	const shards, keys = 16, 16_000
	counts := make([]int, shards)
	for range keys {
		counts[jobkey.New("st", 1, time.Now()).Shard(shards)]++
	}
	for i, n := range counts {
		if n < keys/shards/2 || n > keys/shards*2 {
			t.Errorf("shard %d has %d of %d keys, want about the same number in each shard", i, n, keys)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("g1.steiermark.2a.lf0xk3m2.ABCDEFGHIJKLMNOP")
	f.Add("order-17")
	f.Fuzz(func(t *testing.T, text string) {
		if key, err := jobkey.Parse(text); err == nil && (key.String() != text || key.IsZero()) {
			t.Errorf("key %q was parsed as %q", text, key)
		}
	})
}

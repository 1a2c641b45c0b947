package conf

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// sample declares a setting of each kind.
type sample struct {
	id      string
	listen  string
	entries []string
	count   int
	grace   time.Duration
}

func (s *sample) set() *Set {
	set := New("sample", io.Discard)
	set.Name(&s.id, "id", "", "name")
	set.Addr(&s.listen, "listen", "address")
	set.Addrs(&s.entries, "entries", true, "addresses")
	set.Int(&s.count, "count", 3, 1, 5, "count")
	set.Millis(&s.grace, "grace", time.Second, time.Millisecond, time.Minute, "grace")
	return set
}

func parseText(t testing.TB, text []byte) (*sample, *Set, error) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var s sample
	set := s.set()
	return &s, set, set.Parse([]string{"-config", path})
}

func TestFileFillsTheSettings(t *testing.T) {
	s, set, err := parseText(t, []byte(`{
		"id": "n1", // a comment
		"listen": "127.0.0.1:1", "entries": ["127.0.0.1:2", "[::1]:3"], "count": 5, "grace": 250,
	}`))
	if err != nil {
		t.Fatal(set.Faults())
	}
	if s.id != "n1" || s.listen != "127.0.0.1:1" || len(s.entries) != 2 || s.count != 5 || s.grace != 250*time.Millisecond {
		t.Errorf("got %+v", s)
	}
}

func TestEveryFaultIsNamed(t *testing.T) {
	_, set, err := parseText(t, []byte(`{"id": 7.5, "entries": [], "count": 6, "grace": "x", "other": null}`))
	if err == nil {
		t.Fatal("taken")
	}
	var fields []string
	for _, f := range set.Faults() {
		fields = append(fields, f.Field)
	}
	want := []string{"count", "entries", "grace", "id", "other", "listen"}
	if len(fields) != len(want) {
		t.Fatalf("got faults %v, want of %v", set.Faults(), want)
	}
	for i := range want {
		if fields[i] != want[i] {
			t.Errorf("got faults of %v, want of %v", fields, want)
		}
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"id": "n1", "listen": "127.0.0.1:1", "entries": ["127.0.0.1:2"], "count": 5}`))
	f.Add([]byte(`{"id": {}, "listen": [1], /* */ "count": 1e9}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, set, err := parseText(t, text)
		if (err == nil) != (len(set.Faults()) == 0) {
			t.Errorf("error %v, faults %v", err, set.Faults())
		}
	})
}

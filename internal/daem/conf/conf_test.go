package conf

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testSettings has a setting of each kind.
type testSettings struct {
	id      string
	listen  string
	entries []string
	count   int
	grace   time.Duration
}

// declare returns a set that stores its values in s.
func (s *testSettings) declare() *Set {
	settings := New("sample", io.Discard)
	settings.Name(&s.id, "id", "", "name")
	settings.Addr(&s.listen, "listen", "address")
	settings.Addrs(&s.entries, "entries", true, "addresses")
	settings.Int(&s.count, "count", 3, 1, 5, "count")
	settings.Millis(&s.grace, "grace", time.Second, time.Millisecond, time.Minute, "grace")
	return settings
}

// parseFileText parses a settings file with the given text and returns the values, the
// set and the error of Parse.
func parseFileText(t testing.TB, text []byte) (*testSettings, *Set, error) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var s testSettings
	settings := s.declare()
	return &s, settings, settings.Parse([]string{"-config", path})
}

func TestParseReadsFile(t *testing.T) {
	s, settings, err := parseFileText(t, []byte(`{
		"id": "n1", // a comment
		"listen": "127.0.0.1:1", "entries": ["127.0.0.1:2", "[::1]:3"], "count": 5, "grace": 250,
	}`))
	if err != nil {
		t.Fatal(settings.Faults())
	}
	if s.id != "n1" || s.listen != "127.0.0.1:1" || len(s.entries) != 2 || s.count != 5 || s.grace != 250*time.Millisecond {
		t.Errorf("got %+v", s)
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, settings, err := parseFileText(t, []byte(`{"id": 7.5, "entries": [], "count": 6, "grace": "x", "other": null}`))
	if err == nil {
		t.Fatal("accepted invalid settings")
	}
	var fields []string
	for _, f := range settings.Faults() {
		fields = append(fields, f.Field)
	}
	want := []string{"count", "entries", "grace", "id", "other", "listen"}
	if len(fields) != len(want) {
		t.Fatalf("got faults %v, want faults of %v", settings.Faults(), want)
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
		_, settings, err := parseFileText(t, text)
		if (err == nil) != (len(settings.Faults()) == 0) {
			t.Errorf("error %v, faults %v", err, settings.Faults())
		}
	})
}

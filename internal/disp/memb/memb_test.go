package memb

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const start = boot.Time(time.Hour)

func TestParse(t *testing.T) {
	m := Member{Role: Gate, Addr: "10.0.0.1:7720"}
	if got, ok := Parse(m.String()); !ok || got != m {
		t.Errorf("got %v, %v", got, ok)
	}
	for _, text := range []string{"", "gate", "gate ", "boss 10.0.0.1:1"} {
		if _, ok := Parse(text); ok {
			t.Errorf("%q names a member", text)
		}
	}
}

func TestOnlyMembersHeardOfAreToldOn(t *testing.T) {
	var s Set
	known, heard := Member{Gate, "a:1"}, Member{Entry, "b:1"}
	if !s.Add(known, start) || s.Add(known, start) {
		t.Error("a member is new once")
	}
	s.RecordContact(heard, start)
	if got := s.Recent(start); !slices.Equal(got, []Member{heard}) {
		t.Errorf("got %v", got)
	}
	if got := s.Recent(start.Add(freshFor)); len(got) != 0 {
		t.Errorf("a silent member is told on: %v", got)
	}
	if got := s.Addrs(Gate); !slices.Equal(got, []string{"a:1"}) {
		t.Errorf("got %v", got)
	}
}

func TestSilentMembersAreForgotten(t *testing.T) {
	var s Set
	dead, alive := Member{Gate, "a:1"}, Member{Gate, "b:1"}
	s.Add(dead, start)
	s.Add(alive, start)
	later := start.Add(forgetAfter + 1)
	s.RecordContact(alive, later)
	if got := s.RemoveExpired(later); !slices.Equal(got, []Member{dead}) {
		t.Errorf("got %v", got)
	}
	if got := s.Addrs(Gate); !slices.Equal(got, []string{"b:1"}) {
		t.Errorf("got %v", got)
	}
	s.Remove(alive)
	if got := s.Addrs(Gate); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}

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
			t.Errorf("%q is accepted as a member", text)
		}
	}
}

func TestRecentReturnsMembersWithRecentContact(t *testing.T) {
	var s Set
	added, contacted := Member{Gate, "a:1"}, Member{Entry, "b:1"}
	if !s.Add(added, start) || s.Add(added, start) {
		t.Error("want a member to be new only when it is first added")
	}
	s.RecordContact(contacted, start)
	if got := s.Recent(start); !slices.Equal(got, []Member{contacted}) {
		t.Errorf("got %v", got)
	}
	if got := s.Recent(start.Add(recentPeriod)); len(got) != 0 {
		t.Errorf("Recent returned members without recent contact: %v", got)
	}
	if got := s.Addrs(Gate); !slices.Equal(got, []string{"a:1"}) {
		t.Errorf("got %v", got)
	}
}

func TestMembersWithoutContactExpire(t *testing.T) {
	var s Set
	dead, alive := Member{Gate, "a:1"}, Member{Gate, "b:1"}
	s.Add(dead, start)
	s.Add(alive, start)
	later := start.Add(expiryPeriod + 1)
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

package memb

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// freshFor is how long a member that was heard of is told to others.
	freshFor = 5 * time.Second
	// forgetAfter is how long a member that isn't heard of is called in vain.
	forgetAfter = 2 * time.Minute
)

// Role is what a member does.
type Role string

// Roles.
const (
	Entry Role = "entry"
	Gate  Role = "gate"
)

// Member is a process by its role and the address that others call it at.
type Member struct {
	Role Role
	Addr string
}

// String returns the member as "role address".
func (m Member) String() string { return string(m.Role) + " " + m.Addr }

// Parse reads what String returns. It reports whether text names a member.
func Parse(text string) (Member, bool) {
	role, addr, ok := strings.Cut(text, " ")
	m := Member{Role: Role(role), Addr: addr}
	return m, ok && addr != "" && (m.Role == Entry || m.Role == Gate)
}

// Set is the members that are known. The zero value knows none. It is safe for
// concurrent use.
type Set struct {
	mu    sync.Mutex
	heard map[Member]boot.Time
	since map[Member]boot.Time
}

// Add notes that m may be there, and reports whether it was not known.
func (s *Set) Add(m Member, now boot.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since == nil {
		s.since, s.heard = map[Member]boot.Time{}, map[Member]boot.Time{}
	}
	if _, ok := s.since[m]; ok {
		return false
	}
	s.since[m] = now
	return true
}

// Heard notes that m answered or called at now.
func (s *Set) RecordContact(m Member, now boot.Time) {
	s.Add(m, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[m] = max(s.heard[m], now)
}

// Remove forgets m.
func (s *Set) Remove(m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, m)
	delete(s.heard, m)
}

// All returns the addresses of a role, in order.
func (s *Set) Addrs(role Role) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addrs []string
	for m := range s.since {
		if m.Role == role {
			addrs = append(addrs, m.Addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// Fresh returns the members that were heard of lately.
func (s *Set) Recent(now boot.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []Member
	for m, at := range s.heard {
		if now.Sub(at) < freshFor {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

// Forget removes the members that have not been heard of for long, and returns
// them.
func (s *Set) RemoveExpired(now boot.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []Member
	for m, since := range s.since {
		if now.Sub(max(since, s.heard[m])) > forgetAfter {
			gone = append(gone, m)
			delete(s.since, m)
			delete(s.heard, m)
		}
	}
	return gone
}

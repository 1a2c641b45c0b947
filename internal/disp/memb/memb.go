package memb

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// recentPeriod is how long after the last contact a member is reported to
	// other entries.
	recentPeriod = 5 * time.Second
	// expiryPeriod is how long a member without contact stays in the set.
	expiryPeriod = 2 * time.Minute
)

// Role is the kind of process that a member is.
type Role string

// Roles of members.
const (
	Entry Role = "entry"
	Gate  Role = "gate" // a node
)

// Member identifies a process by its role and the address at which others call it.
type Member struct {
	Role Role
	Addr string
}

// String returns the member as "role address".
func (m Member) String() string { return string(m.Role) + " " + m.Addr }

// Parse parses text in the form of Member.String. It reports whether the text is
// valid; if not, the member returned has no meaning.
func Parse(text string) (Member, bool) {
	role, addr, ok := strings.Cut(text, " ")
	m := Member{Role: Role(role), Addr: addr}
	return m, ok && addr != "" && (m.Role == Entry || m.Role == Gate)
}

// Set is a set of known members. The zero value is empty. It is safe for
// concurrent use.
type Set struct {
	mu          sync.Mutex
	lastContact map[Member]boot.Time
	added       map[Member]boot.Time
}

// Add adds m, which need not exist, and reports whether it was not in the set.
func (s *Set) Add(m Member, now boot.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.added == nil {
		s.added, s.lastContact = map[Member]boot.Time{}, map[Member]boot.Time{}
	}
	if _, ok := s.added[m]; ok {
		return false
	}
	s.added[m] = now
	return true
}

// RecordContact records that m answered or called at now, and adds m if it is not
// in the set.
func (s *Set) RecordContact(m Member, now boot.Time) {
	s.Add(m, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact[m] = max(s.lastContact[m], now)
}

// Remove removes m if it is in the set.
func (s *Set) Remove(m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.added, m)
	delete(s.lastContact, m)
}

// Has reports whether m is in the set.
func (s *Set) Has(m Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.added[m]
	return ok
}

// Addrs returns the addresses of the members with this role, in order.
func (s *Set) Addrs(role Role) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addrs []string
	for m := range s.added {
		if m.Role == role {
			addrs = append(addrs, m.Addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// Recent returns the members whose last contact is less than recentPeriod before
// now, in any order.
func (s *Set) Recent(now boot.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []Member
	for m, at := range s.lastContact {
		if now.Sub(at) < recentPeriod {
			recent = append(recent, m)
		}
	}
	return recent
}

// RemoveExpired removes and returns the members that were added, and had their
// last contact if any, more than expiryPeriod before now.
func (s *Set) RemoveExpired(now boot.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []Member
	for m, added := range s.added {
		if now.Sub(max(added, s.lastContact[m])) > expiryPeriod {
			expired = append(expired, m)
			delete(s.added, m)
			delete(s.lastContact, m)
		}
	}
	return expired
}

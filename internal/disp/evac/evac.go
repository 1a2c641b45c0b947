package evac

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// Order is the operator's request to evacuate a failure domain, or to take it back. The
// zero value is no order.
type Order struct {
	Domain    string
	Version   int64 // the store's version of the change that the order comes from; positive
	Evacuated bool  // false takes the domain back
}

// Set has the newest known order of each failure domain. Domains without an order are in
// use. The zero value has no orders. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	orders atomic.Pointer[[]Order] // by domain; replaced, never changed, so that readers need no lock
}

// Apply stores o if it is newer than the known order of its domain, and reports whether
// the domain is evacuated, or taken back, by it. A new order may change only the version.
func (s *Set) Apply(o Order) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Domain == "" || o.Version <= 0 {
		return false
	}
	i, ok := find(s.Orders(), o.Domain)
	switch {
	case !ok:
		orders := slices.Insert(slices.Clone(s.Orders()), i, o)
		s.orders.Store(&orders)
		return o.Evacuated
	case o.Version <= s.Orders()[i].Version:
		return false
	}
	orders := slices.Clone(s.Orders())
	previous := orders[i]
	orders[i] = o
	s.orders.Store(&orders)
	return o.Evacuated != previous.Evacuated
}

// Absent returns the orders that take back the evacuated domains which a complete listing of
// the store's rows lacks, whose version and domains are given. A domain whose order is not
// older than the listing is not among them.
func (s *Set) Absent(version int64, listed []string) []Order {
	var withdrawn []Order
	for _, o := range s.Orders() {
		if o.Evacuated && o.Version < version && !slices.Contains(listed, o.Domain) {
			withdrawn = append(withdrawn, Order{Domain: o.Domain, Version: version})
		}
	}
	return withdrawn
}

// Of returns the newest order of a domain, or the zero Order if there is none.
func (s *Set) Of(domain string) Order {
	orders := s.Orders()
	if len(orders) == 0 {
		return Order{}
	}
	if i, ok := find(orders, domain); ok {
		return orders[i]
	}
	return Order{}
}

// Orders returns the newest order of each domain that has one, sorted by domain. The caller
// must not change the slice.
func (s *Set) Orders() []Order {
	if orders := s.orders.Load(); orders != nil {
		return *orders
	}
	return nil
}

// Evacuated returns the domains that are evacuated, in order.
func (s *Set) Evacuated() []string {
	var domains []string
	for _, o := range s.Orders() {
		if o.Evacuated {
			domains = append(domains, o.Domain)
		}
	}
	return domains
}

// find returns the position of the order of a domain, or the one where it belongs.
func find(orders []Order, domain string) (int, bool) {
	return slices.BinarySearchFunc(orders, domain, func(o Order, d string) int { return cmp.Compare(o.Domain, d) })
}

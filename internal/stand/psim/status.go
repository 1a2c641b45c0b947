package psim

import (
	"encoding/json"
	"net/http"
	"time"
)

const statusTimeout = time.Second // of a request for a process's status

// status is the part of an entry's status document that is read here.
type status struct {
	Incarnation string      `json:"life"`
	Entry       entryStatus `json:"entry"`
}

// entryStatus is what the status document says of an entry.
type entryStatus struct {
	Version int64        `json:"version"` // of the configuration in force
	Gates   []gateStatus `json:"gates"`
}

// gateStatus is what an entry believes of a gate.
type gateStatus struct {
	Usable bool   `json:"usable"` // its load is recent, and it accepts tasks
	Aside  string `json:"aside"`  // why tasks should go elsewhere; empty for no reason
}

// status returns the status of an entry. It reports false without an answer.
func (p *Platform) status(entry int) (status, bool) {
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + p.MetricsAddr(entry) + "/status")
	if err != nil {
		return status{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	var s status
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s, err == nil
}

// ConfigVersion returns an entry's incarnation and the version of the configuration
// that it reports as in force. The result ok reports whether the entry answered.
func (p *Platform) ConfigVersion(entry int) (incarnation string, version int64, ok bool) {
	s, ok := p.status(entry)
	return s.Incarnation, s.Entry.Version, ok
}

// Ready reports whether all entries answer their readiness checks with status 200, and each
// of them believes that all targets can start tasks.
func (p *Platform) Ready() bool { return p.EntriesReady() && p.allTargetsKnown() }

// EntriesReady reports whether all entries answer their readiness checks with status 200.
// An entry does as soon as it knows of one target, which need not be enough for a load.
func (p *Platform) EntriesReady() bool {
	for i := range p.entryCount() {
		if !p.EntryReady(i + 1) {
			return false
		}
	}
	return true
}

// allTargetsKnown reports whether each entry believes that all targets can start tasks.
func (p *Platform) allTargetsKnown() bool {
	for i := range p.entryCount() {
		if p.usableTargets(i+1) < len(p.targets) {
			return false
		}
	}
	return true
}

func (p *Platform) entryCount() int {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return len(p.balancer.entries)
}

// usableTargets returns the number of targets that an entry believes can start tasks.
func (p *Platform) usableTargets(entry int) int {
	s, _ := p.status(entry)
	n := 0
	for _, g := range s.Entry.Gates {
		if g.Usable && g.Aside == "" {
			n++
		}
	}
	return n
}

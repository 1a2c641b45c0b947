package psim

import (
	"cmp"
	"fmt"
)

// Limits of a Platform whose options set none.
const (
	defaultMemoryMB     = 200
	defaultMaxBodyBytes = 65536
)

// Limits are the limits in the settings of the processes and in the configuration.
type Limits struct {
	MemoryMB     int // of each process; 0 means 200
	MaxFDs       int // descriptors of each process; 0 leaves the setting out
	MaxBodyBytes int // of a caller's request; 0 means 65536
}

// lines returns the lines of the section "limits" of the settings.
func (l Limits) lines() string {
	lines := fmt.Sprintf("memory-mb = %d", cmp.Or(l.MemoryMB, defaultMemoryMB))
	if l.MaxFDs > 0 {
		lines += fmt.Sprintf("\nmax-fds = %d", l.MaxFDs)
	}
	return lines
}

// Addr returns the address of a port of the entry or node with the given number. The port is
// "front", "ready", "control", "internal" or "metrics". Connections to it pass no proxy.
func (p *Platform) Addr(role string, number int, port string) string {
	host := number
	if role == "node" {
		host += nodeHosts
	}
	return address(host, map[string]int{
		"front": p.ports.front, "ready": p.ports.ready, "control": p.ports.control,
		"internal": p.ports.internal, "metrics": p.ports.metrics,
	}[port])
}

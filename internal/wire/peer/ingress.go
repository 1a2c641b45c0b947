package peer

import (
	"net"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
)

// Ingress is what a process shares among its ports against clients that would use it up. It is
// implemented in package life of the daemons.
type Ingress interface {
	PeerListener(net.Listener) net.Listener
	MaxCalls() int
	ReserveMessage(bytes, held int64) bool
	ReleaseMessage(bytes int64)
	ReportMessage()
	ReportUnread()
}

// LimitsOf returns the limits of a server of the process, with messages of at most the given cost
// in bytes; 0 means the default of package codec.
func LimitsOf(in Ingress, maxMessage int64) Limits {
	return Limits{
		Limits:    codec.Limits{MaxMessage: maxMessage, Reserve: in.ReserveMessage, Release: in.ReleaseMessage},
		Calls:     in.MaxCalls(),
		Listener:  in.PeerListener,
		OnMessage: in.ReportMessage,
		OnUnread:  in.ReportUnread,
	}
}

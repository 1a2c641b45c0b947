package target

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Bounds of an announcement.
const (
	MaxSlots       = 4096
	MaxConnections = 4096
	// Lease is how long an announcement holds unless it is renewed.
	Lease = 3 * time.Second

	maxAnnounce = 4 << 10 // bytes
)

// ErrInvalid reports an announcement that can't be accepted.
var ErrInvalid = merry.Sentinel("invalid announcement", merry.WithHTTPCode(http.StatusBadRequest))

// Announce is what a target tells of itself.
type Announcement struct {
	Service     string
	Addr        string
	Slots       int
	Connections int
	Domain      string
	Leaving     bool
}

type announceDoc struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Domain      string `json:"domain"`
	Leaving     bool   `json:"leaving"`
}

type leaseDoc struct {
	Lease int64 `json:"lease"` // ms until the next announcement is due
}

type errorDoc struct {
	Error string `json:"error"`
}

// ReadAnnounce reads the JSON of an announcement. It returns ErrInvalid with the
// field at fault.
func ParseAnnouncement(text []byte) (Announcement, error) {
	var doc announceDoc
	if err := json.Unmarshal(text, &doc); err != nil {
		return Announcement{}, merry.Append(ErrInvalid, err.Error())
	}
	a := Announcement{
		Service: doc.Service, Addr: doc.Address, Slots: doc.Slots,
		Connections: doc.Connections, Domain: doc.Domain, Leaving: doc.Leaving,
	}
	return a, a.check()
}

func (a Announcement) check() error {
	addr, err := netip.ParseAddrPort(a.Addr)
	switch {
	case !jobkey.ValidName(a.Service):
		return merry.Append(ErrInvalid, "service must be 1 to 48 of a-z, 0-9 and -")
	case err != nil || addr.Port() == 0:
		return merry.Append(ErrInvalid, "address must be an IP address and port")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return merry.Append(ErrInvalid, "slots must be 1 to 4096")
	case a.Connections < 1 || a.Connections > MaxConnections:
		return merry.Append(ErrInvalid, "connections must be 1 to 4096")
	case a.Domain != "" && !jobkey.ValidName(a.Domain):
		return merry.Append(ErrInvalid, "domain must be 1 to 48 of a-z, 0-9 and -")
	}
	return nil
}

// Serve takes announcements at POST /v1/announce and hands them to accept.
func Serve(srv *khttp.Server, accept func(Announcement) error) {
	srv.Route("/").POST("/v1/announce", func(ctx khttp.Context) error {
		body := http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxAnnounce)
		var raw json.RawMessage
		if err := json.NewDecoder(body).Decode(&raw); err != nil {
			return ctx.JSON(http.StatusBadRequest, errorDoc{Error: "body: " + err.Error()})
		}
		a, err := ParseAnnouncement(raw)
		if err == nil {
			err = accept(a)
		}
		if err != nil {
			return ctx.JSON(http.StatusBadRequest, errorDoc{Error: err.Error()})
		}
		return ctx.JSON(http.StatusOK, leaseDoc{Lease: Lease.Milliseconds()})
	})
}

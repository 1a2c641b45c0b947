package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// TimeHeader carries the service's clock in Unix ms.
	TimeHeader = "Table-Time"

	requestTimeout = 3 * time.Second
	dialTimeout    = time.Second
	maxReply       = 64 << 20 // bytes
)

// Errors of the client.
var (
	// ErrNotFound means that there is no such row.
	ErrNotFound = merry.Sentinel("no such row")
	// ErrConflict means that a row had another version, and nothing was written.
	ErrConflict = merry.Sentinel("row was changed by somebody else")
	// ErrDown means that the service could not be reached or read.
	ErrUnavailable = merry.Sentinel("table service unavailable")
	// ErrLost means that a write may or may not have taken effect.
	ErrInDoubt = merry.Sentinel("reply of the table service lost")
)

// Row is a named value with a version that rises at each write. Version 0
// means that there is no such row.
type Row struct {
	Name    string
	Version uint64
	Value   []byte // JSON
}

// Write is one part of a transaction: it sets Name to Value if the row still
// has the given version.
type Write struct {
	Name    string
	Version uint64
	Value   []byte
}

// Client talks to one table service. Make one with New.
type Client struct {
	// OnTime, if set, is given the service's clock with each reply.
	OnTime func(time.Time)

	http *khttp.Client
	base string
}

// New returns a client of the service at addr, a host and port.
func New(ctx context.Context, addr string) (*Client, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
	}
	client, err := khttp.NewClient(ctx,
		khttp.WithEndpoint(addr),
		khttp.WithTransport(transport),
		khttp.WithTimeout(requestTimeout),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, err
	}
	return &Client{http: client, base: "http://" + addr}, nil
}

type rowDoc struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

type listDoc struct {
	Rows []rowDoc `json:"rows"`
}

type txnDoc struct {
	Writes []rowDoc `json:"writes"`
}

// Get reads one row.
func (c *Client) Get(ctx context.Context, name string) (Row, error) {
	var doc rowDoc
	err := c.read(ctx, "/v1/rows/"+url.PathEscape(name), &doc)
	return doc.row(), err
}

// GetNewer reads one row if its version is not the given one. It returns false
// if it is.
func (c *Client) GetIfChanged(ctx context.Context, name string, version uint64) (Row, bool, error) {
	var doc rowDoc
	path := "/v1/rows/" + url.PathEscape(name) + "?not=" + strconv.FormatUint(version, 10)
	if err := c.read(ctx, path, &doc); err != nil {
		return Row{}, false, err
	}
	return doc.row(), doc.Version != 0, nil
}

// List reads the rows whose names start with prefix, in order of name.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var doc listDoc
	if err := c.read(ctx, "/v1/rows?prefix="+url.QueryEscape(prefix), &doc); err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(doc.Rows))
	for _, d := range doc.Rows {
		rows = append(rows, d.row())
	}
	return rows, nil
}

// Commit makes all writes or none. ErrLost leaves open which.
func (c *Client) Commit(ctx context.Context, writes ...Write) error {
	var doc txnDoc
	for _, w := range writes {
		doc.Writes = append(doc.Writes, rowDoc{Name: w.Name, Version: w.Version, Value: w.Value})
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/txn", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return merry.Append(ErrInDoubt, err.Error())
	}
	defer drain(resp.Body)
	c.noteTime(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return merry.Appendf(ErrInDoubt, "status %d", resp.StatusCode)
}

func (c *Client) read(ctx context.Context, path string, doc any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return merry.Append(ErrUnavailable, err.Error())
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		c.noteTime(resp)
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return merry.Appendf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	c.noteTime(resp)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(doc); err != nil {
		return merry.Append(ErrUnavailable, err.Error())
	}
	return nil
}

func (c *Client) noteTime(resp *http.Response) {
	ms, err := strconv.ParseInt(resp.Header.Get(TimeHeader), 10, 64)
	if err == nil && c.OnTime != nil {
		c.OnTime(time.UnixMilli(ms))
	}
}

func (d rowDoc) row() Row { return Row{Name: d.Name, Version: d.Version, Value: d.Value} }

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReply))
	_ = body.Close()
}

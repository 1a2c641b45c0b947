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
	// TimeHeader is the header of replies with the clock of the service, in Unix ms.
	TimeHeader = "Table-Time"

	requestTimeout = 3 * time.Second
	dialTimeout    = time.Second
	maxReplySize   = 64 << 20 // bytes read of the body of a reply
)

// Errors returned by Client.
var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = merry.Sentinel("no such row")
	// ErrConflict means that a row had another version than expected, so that nothing
	// was written.
	ErrConflict = merry.Sentinel("row has been changed concurrently")
	// ErrUnavailable means that the service did not answer a read or could not carry
	// out a request. Nothing was written.
	ErrUnavailable = merry.Sentinel("table service unavailable")
	// ErrInDoubt means that a write may or may not have taken effect.
	ErrInDoubt = merry.Sentinel("reply of the table service lost; the write may have taken effect")
)

// Row is a named value. Its version rises with each write; version 0 means that the row
// does not exist.
type Row struct {
	Name    string
	Version uint64
	Value   []byte // JSON
}

// Write is one part of a transaction. It sets the value of a row if the row still has
// the given version, where 0 means that it does not exist yet.
type Write struct {
	Name    string
	Version uint64
	Value   []byte // JSON
}

// Client is a client of one table service. It must be made by New.
type Client struct {
	// OnTime, if not nil, is called with the clock of the service for each reply that
	// contains it.
	OnTime func(time.Time)

	http    *khttp.Client
	baseURL string // http:// followed by the address of the service
}

// New returns a client of the service at addr, which has the form host:port.
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
	return &Client{http: client, baseURL: "http://" + addr}, nil
}

// rowDoc is the JSON form of a Row or a Write.
type rowDoc struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// listDoc is the reply to a request for several rows.
type listDoc struct {
	Rows []rowDoc `json:"rows"`
}

// txnDoc is the body of a transaction.
type txnDoc struct {
	Writes []rowDoc `json:"writes"`
}

// Get reads the row with the given name. It returns ErrNotFound if the row does not
// exist, and ErrUnavailable if it can't be read.
func (c *Client) Get(ctx context.Context, name string) (Row, error) {
	var doc rowDoc
	err := c.read(ctx, "/v1/rows/"+url.PathEscape(name), &doc)
	return doc.row(), err
}

// GetIfChanged reads the row with the given name unless it still has the given version;
// then it returns false and the zero Row. The errors are those of Get.
func (c *Client) GetIfChanged(ctx context.Context, name string, version uint64) (Row, bool, error) {
	var doc rowDoc
	path := "/v1/rows/" + url.PathEscape(name) + "?not=" + strconv.FormatUint(version, 10)
	if err := c.read(ctx, path, &doc); err != nil {
		return Row{}, false, err
	}
	return doc.row(), doc.Version != 0, nil
}

// List reads the rows whose names start with prefix, in the order of their names.
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

// Commit carries out either all writes or none. After ErrConflict and ErrUnavailable it
// was none; after ErrInDoubt it is not known.
func (c *Client) Commit(ctx context.Context, writes ...Write) error {
	var doc txnDoc
	for _, w := range writes {
		doc.Writes = append(doc.Writes, rowDoc{Name: w.Name, Version: w.Version, Value: w.Value})
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/txn", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return merry.Append(ErrInDoubt, err.Error())
	}
	defer drainAndClose(resp.Body)
	c.reportTime(resp)
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

// read decodes the JSON at path into doc. It leaves doc unchanged if the service answers
// that the row is not modified.
func (c *Client) read(ctx context.Context, path string, doc any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return merry.Append(ErrUnavailable, err.Error())
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		c.reportTime(resp)
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return merry.Appendf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	c.reportTime(resp)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplySize)).Decode(doc); err != nil {
		return merry.Append(ErrUnavailable, err.Error())
	}
	return nil
}

// reportTime calls OnTime if resp contains the clock of the service.
func (c *Client) reportTime(resp *http.Response) {
	ms, err := strconv.ParseInt(resp.Header.Get(TimeHeader), 10, 64)
	if err == nil && c.OnTime != nil {
		c.OnTime(time.UnixMilli(ms))
	}
}

func (d rowDoc) row() Row { return Row{Name: d.Name, Version: d.Version, Value: d.Value} }

// drainAndClose reads the rest of body, so that the connection can be reused, and closes
// it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReplySize))
	_ = body.Close()
}

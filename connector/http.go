package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// maxAnswerBytes bounds an answer of the platform that is read into memory.
const maxAnswerBytes = 64 << 20

// GetRequest is the body of a table read.
type GetRequest struct {
	Key RowKey `json:"key"`
}

// ScanRequest is the body of a table scan.
type ScanRequest struct {
	Prefix RowKey `json:"prefix"`
	After  RowKey `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// CommitReply is the answer to a transaction that took effect.
type CommitReply struct {
	Versions []RowVersion `json:"versions"`
}

// RenewRequest is the body of a lease renewal at a target.
type RenewRequest struct {
	Tasks   []descriptor.TaskID `json:"tasks,omitempty"`
	UntilMs TargetClock         `json:"untilMs"`
}

// DirectRequest is the body of a directive to a running task.
type DirectRequest struct {
	Task      descriptor.TaskID `json:"task"`
	Directive Directive         `json:"directive"`
}

// NewDialer returns a dialer whose connections come from the given IP, or from
// any if source is empty or unspecified. On a host with several addresses the
// network then sees the one that the settings name.
func NewDialer(source string) *net.Dialer {
	d := &net.Dialer{Timeout: 2 * time.Second}
	if ip := net.ParseIP(source); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// NewHTTPClient returns a client for connections to the platform and to
// targets. perHost bounds the connections to each host; source is as in
// NewDialer.
func NewHTTPClient(perHost int, source string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         NewDialer(source).DialContext,
		MaxIdleConnsPerHost: perHost,
		MaxConnsPerHost:     perHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}}
}

// Platform is the client of the platform's table service, object store and
// directory. It implements Table, Objects and Directory.
type Platform struct {
	Client       *http.Client
	TableURL     string
	ObjectsURL   string
	DirectoryURL string
}

// statusError is an answer with an unexpected HTTP status.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string { return fmt.Sprintf("http status %d: %.200s", e.status, e.body) }

// exchange sends one request and returns the body of a 200 answer. An error
// wraps ErrUnavailable if the server surely did not carry out the request, and
// ErrAmbiguous if it may have.
func exchange(ctx context.Context, c *http.Client, method, target string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(r)
	if err != nil {
		return nil, classify(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return b, nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	case http.StatusNotFound:
		return nil, ErrNotFound
	}
	return nil, &statusError{resp.StatusCode, b}
}

// classify maps a transport error to ErrUnavailable if no connection came about,
// and to ErrAmbiguous otherwise.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrAmbiguous, err)
}

// call exchanges JSON bodies.
func call[Req, Rep any](ctx context.Context, c *http.Client, target string, req Req) (Rep, error) {
	var rep Rep
	b, err := json.Marshal(req)
	if err != nil {
		return rep, fmt.Errorf("encode request: %w", err)
	}
	b, err = exchange(ctx, c, http.MethodPost, target, b)
	if err != nil {
		return rep, err
	}
	if err := json.Unmarshal(b, &rep); err != nil {
		return rep, fmt.Errorf("%w: decode answer: %w", ErrAmbiguous, err)
	}
	return rep, nil
}

// fetch reads a JSON document.
func fetch[Rep any](ctx context.Context, c *http.Client, target string) (Rep, error) {
	var rep Rep
	b, err := exchange(ctx, c, http.MethodGet, target, nil)
	if err != nil {
		return rep, err
	}
	if err := json.Unmarshal(b, &rep); err != nil {
		return rep, fmt.Errorf("decode answer: %w", err)
	}
	return rep, nil
}

// Get implements Table.
func (p *Platform) Get(ctx context.Context, key RowKey) (Row, error) {
	return call[GetRequest, Row](ctx, p.Client, p.TableURL+"/get", GetRequest{key})
}

// Scan implements Table.
func (p *Platform) Scan(ctx context.Context, prefix, after RowKey, limit int) ([]Row, error) {
	return call[ScanRequest, []Row](ctx, p.Client, p.TableURL+"/scan", ScanRequest{prefix, after, limit})
}

// Commit implements Table.
func (p *Platform) Commit(ctx context.Context, t Transaction) ([]RowVersion, error) {
	rep, err := call[Transaction, CommitReply](ctx, p.Client, p.TableURL+"/commit", t)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusConflict {
		failed := &ConditionError{}
		if jsonErr := json.Unmarshal(status.body, failed); jsonErr != nil {
			return nil, fmt.Errorf("decode conflict: %w", jsonErr)
		}
		return nil, failed
	}
	return rep.Versions, err
}

// PutObject implements Objects.
func (p *Platform) PutObject(ctx context.Context, key string, body []byte) error {
	_, err := exchange(ctx, p.Client, http.MethodPut, p.ObjectsURL+"/"+key, body)
	return err
}

// GetObject implements Objects.
func (p *Platform) GetObject(ctx context.Context, key string) ([]byte, error) {
	return exchange(ctx, p.Client, http.MethodGet, p.ObjectsURL+"/"+key, nil)
}

// List implements Directory.
func (p *Platform) List(ctx context.Context, dataCentre descriptor.DataCentreID) (Listing, error) {
	q := url.Values{"dataCentre": {string(dataCentre)}}
	return fetch[Listing](ctx, p.Client, p.DirectoryURL+"?"+q.Encode())
}

// HTTPDialer connects to targets that speak the HTTP protocol of the stand-ins.
type HTTPDialer struct {
	Client *http.Client
}

// Dial implements Dialer.
func (d *HTTPDialer) Dial(t descriptor.Target) TargetConn {
	return &targetConn{client: d.Client, base: "http://" + t.Address}
}

type targetConn struct {
	client *http.Client
	base   string
}

// Start implements TargetConn.
func (c *targetConn) Start(ctx context.Context, o StartOrder) (TargetStatus, error) {
	status, err := call[StartOrder, TargetStatus](ctx, c.client, c.base+"/tasks/start", o)
	var se *statusError
	if errors.As(err, &se) && se.status == http.StatusConflict {
		return status, fmt.Errorf("%w: %.200s", ErrRejected, se.body)
	}
	return status, err
}

// Tasks implements TargetConn.
func (c *targetConn) Tasks(ctx context.Context) (TaskList, error) {
	return fetch[TaskList](ctx, c.client, c.base+"/tasks")
}

// Events implements TargetConn.
func (c *targetConn) Events(ctx context.Context, after uint64, wait time.Duration) (TaskList, error) {
	q := url.Values{
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return fetch[TaskList](ctx, c.client, c.base+"/events?"+q.Encode())
}

// Renew implements TargetConn.
func (c *targetConn) Renew(ctx context.Context, tasks []descriptor.TaskID, until TargetClock) (TargetStatus, error) {
	return call[RenewRequest, TargetStatus](ctx, c.client, c.base+"/lease", RenewRequest{tasks, until})
}

// Direct implements TargetConn.
func (c *targetConn) Direct(ctx context.Context, task descriptor.TaskID, d Directive) (TargetStatus, error) {
	return call[DirectRequest, TargetStatus](ctx, c.client, c.base+"/tasks/direct", DirectRequest{task, d})
}

// Close implements TargetConn. The connections belong to the shared client.
func (c *targetConn) Close() error { return nil }

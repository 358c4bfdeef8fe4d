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

// maxResponseBytes limits how much of a response body is read into memory.
const maxResponseBytes = 64 << 20

// GetRequest is the request body of a table read.
type GetRequest struct {
	Key RowKey `json:"key"`
}

// ScanRequest is the request body of a table scan.
type ScanRequest struct {
	Prefix RowKey `json:"prefix"`
	After  RowKey `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// CommitReply is the response body of a committed transaction.
type CommitReply struct {
	Versions []RowVersion `json:"versions"`
}

// RenewRequest is the request body of a lease renewal at a target.
type RenewRequest struct {
	Tasks   []descriptor.TaskID `json:"tasks,omitempty"`
	UntilMs TargetTime          `json:"untilMs"`
}

// DirectiveRequest is the request body of a directive to a running task.
type DirectiveRequest struct {
	Task      descriptor.TaskID `json:"task"`
	Directive Directive         `json:"directive"`
}

// NewNetDialer returns a dialer whose connections originate from sourceIP, or from
// an address chosen by the system if sourceIP is empty or unspecified. On a host
// with several addresses, this makes the configured address visible to the network.
func NewNetDialer(sourceIP string) *net.Dialer {
	d := &net.Dialer{Timeout: 2 * time.Second}
	if ip := net.ParseIP(sourceIP); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// NewHTTPClient returns a client for connections to the platform and to targets.
// maxConnsPerHost limits the connections to each host. sourceIP is the source
// address as in NewNetDialer.
func NewHTTPClient(maxConnsPerHost int, sourceIP string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         NewNetDialer(sourceIP).DialContext,
		MaxIdleConnsPerHost: maxConnsPerHost,
		MaxConnsPerHost:     maxConnsPerHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}}
}

// PlatformClient is an HTTP client of the platform's table service, object store
// and directory. It implements Table, ObjectStore and Directory.
type PlatformClient struct {
	Client       *http.Client
	TableURL     string
	ObjectsURL   string
	DirectoryURL string
}

// statusError is a response with an unexpected HTTP status.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string { return fmt.Sprintf("http status %d: %.200s", e.status, e.body) }

// sendRequest sends a request and returns the body of a 200 response. The error
// wraps ErrUnavailable if the server certainly did not execute the request, and
// ErrAmbiguous if it may have. Other statuses give ErrNotFound or a *statusError.
func sendRequest(ctx context.Context, client *http.Client, method, endpoint string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return nil, classifyTransportError(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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

// classifyTransportError wraps a transport error in ErrUnavailable if the
// connection could not be established, and in ErrAmbiguous otherwise.
func classifyTransportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrAmbiguous, err)
}

// postJSON sends req as JSON and decodes the JSON response.
func postJSON[Req, Reply any](ctx context.Context, client *http.Client, endpoint string, req Req) (Reply, error) {
	var reply Reply
	b, err := json.Marshal(req)
	if err != nil {
		return reply, fmt.Errorf("encode request: %w", err)
	}
	b, err = sendRequest(ctx, client, http.MethodPost, endpoint, b)
	if err != nil {
		return reply, err
	}
	if err := json.Unmarshal(b, &reply); err != nil {
		return reply, fmt.Errorf("%w: decode answer: %w", ErrAmbiguous, err)
	}
	return reply, nil
}

// getJSON fetches and decodes a JSON document.
func getJSON[Reply any](ctx context.Context, client *http.Client, endpoint string) (Reply, error) {
	var reply Reply
	b, err := sendRequest(ctx, client, http.MethodGet, endpoint, nil)
	if err != nil {
		return reply, err
	}
	if err := json.Unmarshal(b, &reply); err != nil {
		return reply, fmt.Errorf("decode answer: %w", err)
	}
	return reply, nil
}

// Get implements Table.
func (p *PlatformClient) Get(ctx context.Context, key RowKey) (Row, error) {
	return postJSON[GetRequest, Row](ctx, p.Client, p.TableURL+"/get", GetRequest{key})
}

// Scan implements Table.
func (p *PlatformClient) Scan(ctx context.Context, prefix, after RowKey, limit int) ([]Row, error) {
	return postJSON[ScanRequest, []Row](ctx, p.Client, p.TableURL+"/scan", ScanRequest{prefix, after, limit})
}

// Commit implements Table.
func (p *PlatformClient) Commit(ctx context.Context, t Transaction) ([]RowVersion, error) {
	reply, err := postJSON[Transaction, CommitReply](ctx, p.Client, p.TableURL+"/commit", t)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.status == http.StatusConflict {
		conflict := &ConditionError{}
		if jsonErr := json.Unmarshal(statusErr.body, conflict); jsonErr != nil {
			return nil, fmt.Errorf("decode conflict: %w", jsonErr)
		}
		return nil, conflict
	}
	return reply.Versions, err
}

// PutObject implements ObjectStore.
func (p *PlatformClient) PutObject(ctx context.Context, key string, body []byte) error {
	_, err := sendRequest(ctx, p.Client, http.MethodPut, p.ObjectsURL+"/"+key, body)
	return err
}

// GetObject implements ObjectStore.
func (p *PlatformClient) GetObject(ctx context.Context, key string) ([]byte, error) {
	return sendRequest(ctx, p.Client, http.MethodGet, p.ObjectsURL+"/"+key, nil)
}

// List implements Directory.
func (p *PlatformClient) List(ctx context.Context, dataCentre descriptor.DataCentreID) (Listing, error) {
	q := url.Values{"dataCentre": {string(dataCentre)}}
	return getJSON[Listing](ctx, p.Client, p.DirectoryURL+"?"+q.Encode())
}

// HTTPDialer connects to targets over the HTTP protocol that the emulator
// implements.
type HTTPDialer struct {
	Client *http.Client
}

// Dial implements Dialer.
func (d *HTTPDialer) Dial(t descriptor.Target) TargetConn {
	return &targetConn{client: d.Client, baseURL: "http://" + t.Address}
}

// targetConn implements TargetConn over HTTP.
type targetConn struct {
	client  *http.Client
	baseURL string
}

// Start implements TargetConn.
func (c *targetConn) Start(ctx context.Context, o StartOrder) (TargetStatus, error) {
	status, err := postJSON[StartOrder, TargetStatus](ctx, c.client, c.baseURL+"/tasks/start", o)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.status == http.StatusConflict {
		return status, fmt.Errorf("%w: %.200s", ErrRejected, statusErr.body)
	}
	return status, err
}

// Tasks implements TargetConn.
func (c *targetConn) Tasks(ctx context.Context) (TaskList, error) {
	return getJSON[TaskList](ctx, c.client, c.baseURL+"/tasks")
}

// Events implements TargetConn.
func (c *targetConn) Events(ctx context.Context, after uint64, wait time.Duration) (TaskList, error) {
	q := url.Values{
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return getJSON[TaskList](ctx, c.client, c.baseURL+"/events?"+q.Encode())
}

// Renew implements TargetConn.
func (c *targetConn) Renew(ctx context.Context, tasks []descriptor.TaskID, until TargetTime) (TargetStatus, error) {
	return postJSON[RenewRequest, TargetStatus](ctx, c.client, c.baseURL+"/lease", RenewRequest{tasks, until})
}

// SendDirective implements TargetConn.
func (c *targetConn) SendDirective(ctx context.Context, task descriptor.TaskID, d Directive) (TargetStatus, error) {
	return postJSON[DirectiveRequest, TargetStatus](ctx, c.client, c.baseURL+"/tasks/direct", DirectiveRequest{task, d})
}

// Close implements TargetConn. It does nothing, because the shared HTTP client
// owns the connections.
func (c *targetConn) Close() error { return nil }

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/masticlead/masticlead/server"
)

// defaultServer is the base URL of an instance with the default listen address.
const defaultServer = "http://127.0.0.1:7180"

// maxResponseBytes limits a response body. The list of 27,000 targets takes about
// 8 MB.
const maxResponseBytes = 64 << 20

// client calls the API of one instance.
type client struct {
	base string
	http *http.Client
	// rulesFile is the file name printed in findings about rules.
	rulesFile string
}

func newClient(base string) *client {
	return &client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: 2 * time.Minute}}
}

// response is an API response whose body has been read.
type response struct {
	status int
	body   []byte
}

// call sends one request. A response is not an error, whatever its status.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte) (response, error) {
	requestURL := c.base + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = res.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("read response body: %w", err)
	}
	if len(respBody) > maxResponseBytes {
		return response{}, fmt.Errorf("response body exceeds %d bytes", maxResponseBytes)
	}
	return response{res.StatusCode, respBody}, nil
}

// callJSON sends one request and decodes the JSON body of the response. Any status
// other than 200 is an error.
func callJSON[T any](ctx context.Context, c *client, method, path string, query url.Values, body []byte) (T, error) {
	var out T
	res, err := c.call(ctx, method, path, query, body)
	if err != nil {
		return out, err
	}
	if res.status != http.StatusOK {
		return out, c.responseError(res)
	}
	if err := json.Unmarshal(res.body, &out); err != nil {
		return out, fmt.Errorf("decode response body: %w", err)
	}
	return out, nil
}

// findingsError holds validation findings, which are printed one per line.
type findingsError []string

// Error implements error.
func (f findingsError) Error() string { return strings.Join(f, "\n") }

// responseError converts a response without a result into an error.
func (c *client) responseError(res response) error {
	var fault server.ErrorBody
	if err := json.Unmarshal(res.body, &fault); err != nil {
		return fmt.Errorf("server returned status %d", res.status)
	}
	switch {
	case res.status == http.StatusConflict && fault.Current != nil:
		return fmt.Errorf("conflict: version %d by %s is in force; nothing was changed",
			fault.Current.Version, fault.Current.Author)
	case len(fault.Findings) > 0 && res.status < 500 && res.status != http.StatusNotFound:
		return c.formatFindings(fault.Findings)
	case len(fault.Findings) > 0:
		return errors.New(fault.Findings[0].Message)
	case fault.Error != "":
		return errors.New(fault.Error)
	default:
		return fmt.Errorf("server returned status %d", res.status)
	}
}

// formatFindings formats findings of the server. Those with a position in the
// rules file look like the findings of the parser.
func (c *client) formatFindings(findings []server.Finding) findingsError {
	lines := make(findingsError, 0, len(findings))
	for _, f := range findings {
		if f.Line > 0 {
			lines = append(lines, fmt.Sprintf("%s:%d:%d: %s", c.rulesFile, f.Line, f.Column, f.Message))
		} else {
			lines = append(lines, f.Field+": "+f.Message)
		}
	}
	return lines
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

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

// defaultServer is the address that an instance listens on by default.
const defaultServer = "http://127.0.0.1:7180"

// maxAnswerBytes bounds an answer. The list of 27,000 targets has about 8 MB.
const maxAnswerBytes = 64 << 20

// client calls the API of one instance.
type client struct {
	base string
	http *http.Client
	// file names the rules file in findings.
	file string
}

func newClient(base string) *client {
	return &client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: 2 * time.Minute}}
}

// response is an answer of the API.
type response struct {
	status int
	body   []byte
}

// call sends one request. The error is nil for every answer, whatever its
// status.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte) (response, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("read the answer: %w", err)
	}
	if len(answer) > maxAnswerBytes {
		return response{}, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return response{res.StatusCode, answer}, nil
}

// get decodes the answer of a call that succeeds with status 200.
func get[T any](ctx context.Context, c *client, method, path string, query url.Values, body []byte) (T, error) {
	var out T
	res, err := c.call(ctx, method, path, query, body)
	if err != nil {
		return out, err
	}
	if res.status != http.StatusOK {
		return out, c.failure(res)
	}
	if err := json.Unmarshal(res.body, &out); err != nil {
		return out, fmt.Errorf("answer is not valid: %w", err)
	}
	return out, nil
}

// findingsError holds findings of the server, one a line.
type findingsError []string

// Error implements error.
func (f findingsError) Error() string { return strings.Join(f, "\n") }

// failure turns an answer without a result into an error.
func (c *client) failure(res response) error {
	var fault server.FaultBody
	if err := json.Unmarshal(res.body, &fault); err != nil {
		return fmt.Errorf("server answered with status %d", res.status)
	}
	switch {
	case res.status == http.StatusConflict && fault.Current != nil:
		return fmt.Errorf("conflict: version %d by %s is in force; nothing was changed",
			fault.Current.Version, fault.Current.Author)
	case len(fault.Findings) > 0 && res.status < 500 && res.status != http.StatusNotFound:
		return c.findings(fault.Findings)
	case len(fault.Findings) > 0:
		return errors.New(fault.Findings[0].Message)
	case fault.Error != "":
		return errors.New(fault.Error)
	default:
		return fmt.Errorf("server answered with status %d", res.status)
	}
}

// findings prints findings in a rules file like those of the parser.
func (c *client) findings(findings []server.Finding) findingsError {
	lines := make(findingsError, 0, len(findings))
	for _, f := range findings {
		if f.Line > 0 {
			lines = append(lines, fmt.Sprintf("%s:%d:%d: %s", c.file, f.Line, f.Column, f.Message))
		} else {
			lines = append(lines, f.Field+": "+f.Message)
		}
	}
	return lines
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestRequestResponses guards against an outcome that is returned with the wrong
// status, without the request ID, or with a retry delay that is too short.
func TestRequestResponses(t *testing.T) {
	started := descriptor.NewUnstarted().Start
	run := descriptor.Run{Target: "t1", Wait: time.Millisecond, Run: 2 * time.Second, Result: json.RawMessage(`{"a":1}`)}
	cases := map[string]struct {
		state      RequestState
		status     int
		retryAfter string
		body       string
	}{
		"completed":  {RequestState{Outcome: started().Complete(run)}, 200, "", `"outcome":"completed","target":"t1","waitMs":1,"runMs":2000,"result":{"a":1}`},
		"failed":     {RequestState{Outcome: descriptor.NewUnstarted().Start().Fail(run)}, 200, "", `"outcome":"failed","target":"t1","waitMs":1,"runMs":2000,"result":{"a":1}`},
		"unknown":    {RequestState{Outcome: descriptor.NewUnstarted().Start().EndUnknown(descriptor.Run{})}, 200, "", `"outcome":"unknown","waitMs":0,"runMs":0`},
		"cancelled":  {RequestState{Outcome: descriptor.NewUnstarted().Cancel()}, 200, "", `"outcome":"cancelled","reason":"cancelledUnstarted","waitMs":0,"runMs":0`},
		"pending":    {RequestState{Pending: true}, 202, "", `"outcome":"pending","waitMs":0,"runMs":0`},
		"zero state": {RequestState{}, 202, "", `"outcome":"pending","waitMs":0,"runMs":0`},
		"queue full": {
			refusedState(descriptor.ReasonQueueFull, 1001*time.Millisecond), 429, "2",
			`"outcome":"refused","reason":"queueFull","retryAfterMs":1001,"detail":"d","waitMs":0,"runMs":0`,
		},
		"store unavailable": {
			refusedState(descriptor.ReasonStoreUnavailable, time.Microsecond), 503, "1",
			`"outcome":"refused","reason":"storeUnavailable","retryAfterMs":1,"detail":"d","waitMs":0,"runMs":0`,
		},
		"not allowed": {
			refusedState(descriptor.ReasonNotAllowed, 0), 403, "",
			`"outcome":"refused","reason":"notAllowed","detail":"d","waitMs":0,"runMs":0`,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(&fake{state: c.state, known: true})
			want := fmt.Sprintf(`{"id":"r1","caller":"stylist-1",%s}`, c.body)
			for _, w := range []*httptest.ResponseRecorder{
				do(s, "POST", "/v1/requests", validBody),
				do(s, "GET", "/v1/requests/stylist-1/r1?waitMs=5", ""),
				do(s, "DELETE", "/v1/requests/stylist-1/r1", ""),
			} {
				require.Equal(t, c.status, w.Code)
				require.Equal(t, c.retryAfter, w.Header().Get("Retry-After"))
				require.Equal(t, "r1", w.Header().Get("X-Request-Id"))
				require.JSONEq(t, want, w.Body.String())
			}
		})
	}
}

// TestRefusalStatusOfEveryReason guards against a new reason that is not mapped to
// the right status.
func TestRefusalStatusOfEveryReason(t *testing.T) {
	tooManyRequests := []descriptor.Reason{
		descriptor.ReasonDeadlineUnmet, descriptor.ReasonDeadlinePassed, descriptor.ReasonQueueFull,
		descriptor.ReasonCallerQueueFull, descriptor.ReasonQuota,
	}
	for r := descriptor.ReasonNotAllowed; r <= descriptor.ReasonCancelledUnstarted; r++ {
		want := 503
		switch r {
		case descriptor.ReasonNotAllowed:
			want = 403
		case descriptor.ReasonNeverFits, descriptor.ReasonUnknownKind:
			want = 422
		}
		for _, reason := range tooManyRequests {
			if r == reason {
				want = 429
			}
		}
		require.Equal(t, want, refusalStatus(r), r)
	}
}

// TestSubmissionIsDecoded guards against a field of the body that is not passed to
// Submit, and against a wait above Limits.MaxWait.
func TestSubmissionIsDecoded(t *testing.T) {
	var got Submission
	s := newServer(&fake{submit: func(_ context.Context, sub Submission) (RequestState, error) {
		got = sub
		return RequestState{Pending: true}, nil
	}})
	s.Limits.MaxWait = 7 * time.Second
	w := do(s, "POST", "/v1/requests?waitMs=99999", `{"id":"r:1@x","caller":"c","kind":"wiringPlan","tasks":6,
		"declaredRunMs":800,"deadlineMs":3700,"payload":{"runMs":5},
		"resources":{"cpuMilli":500,"memoryMiB":64,"accelerators":1,"slots":2}}`)
	require.Equal(t, 202, w.Code, w.Body)
	require.Equal(t, Submission{
		Key: descriptor.Key{Caller: "c", ID: "r:1@x"}, Kind: "wiringPlan", Tasks: 6,
		Resources:   &descriptor.Resources{CPU: 500, Memory: 64, Accelerators: 1, Slots: 2},
		DeclaredRun: 800 * time.Millisecond, Deadline: 3700 * time.Millisecond,
		Payload: json.RawMessage(`{"runMs":5}`), Wait: 7 * time.Second,
	}, got)

	do(s, "POST", "/v1/requests", validBody)
	require.Equal(t, Submission{Key: descriptor.Key{Caller: "stylist-1", ID: "r1"}, Kind: "routeBuild", Wait: 7 * time.Second}, got)
}

// TestBadInput guards against invalid input that reaches the scheduler, and against
// a response that contains only the first of several findings.
func TestBadInput(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		status             int
		findings           []string
	}{
		"empty":            {"POST", "/v1/requests", "", 400, []string{"body must be a JSON object"}},
		"array":            {"POST", "/v1/requests", "[]", 400, []string{"body must be a JSON object"}},
		"truncated":        {"POST", "/v1/requests", `{"id":"a","caller":`, 400, []string{"body is JSON that ends too early"}},
		"trailing":         {"POST", "/v1/requests", validBody + "{}", 400, []string{"body holds more than one JSON value"}},
		"invalid UTF-8":    {"POST", "/v1/requests", "{\"id\":\"\xff\"}", 400, []string{"body is not valid UTF-8"}},
		"empty object":     {"POST", "/v1/requests", "{}", 400, []string{"id is missing", "caller is missing", "kind is missing"}},
		"duplicate field":  {"POST", "/v1/requests", strings.Replace(validBody, "{", `{"id":"r0",`, 1), 400, []string{"id is given twice"}},
		"wrong case":       {"POST", "/v1/requests", strings.Replace(validBody, "id", "ID", 1), 400, []string{"ID is not a known field", "id is missing"}},
		"slash in the id":  {"POST", "/v1/requests", strings.Replace(validBody, "r1", "a/b", 1), 400, []string{"id holds '/'; it consists of letters, digits, '.', '_', '-', ':' and '@'"}},
		"only dots":        {"POST", "/v1/requests", strings.Replace(validBody, "r1", "..", 1), 400, []string{"id needs a letter or a digit"}},
		"null":             {"POST", "/v1/requests", strings.Replace(validBody, `"r1"`, "null", 1), 400, []string{"id must be a string"}},
		"long id":          {"POST", "/v1/requests", strings.Replace(validBody, "r1", strings.Repeat("x", 129), 1), 400, []string{"id has 129 bytes; at most 128 are allowed"}},
		"unknown query":    {"POST", "/v1/requests?wait=5", validBody, 400, []string{"wait is not a known parameter"}},
		"negative wait":    {"POST", "/v1/requests?waitMs=-1", validBody, 400, []string{"waitMs must be a whole number from 0 to 9223372036854775807"}},
		"duplicate wait":   {"POST", "/v1/requests?waitMs=1&waitMs=2", validBody, 400, []string{"waitMs is given twice"}},
		"malformed query":  {"GET", "/v1/rules?a=%zz&c=1&b=2", "", 400, []string{"query is malformed", "b is not a known parameter", "c is not a known parameter"}},
		"invalid path key": {"GET", "/v1/requests/a%20b/..", "", 400, []string{"caller holds ' '; it consists of letters, digits, '.', '_', '-', ':' and '@'", "id needs a letter or a digit"}},
		"unknown path":     {"GET", "/v2/requests", "", 404, []string{"path no such path"}},
		"unknown method":   {"PATCH", "/v1/requests", validBody, 405, []string{"method the path does not take this method"}},
		"missing version":  {"PUT", "/v1/rules", "x", 400, []string{"expectedVersion is missing; give the version that the change replaces, or 0 if there is none", "author is missing"}},
		"invalid author":   {"PUT", "/v1/rules?expectedVersion=1&author=a%0Ab", "x", 400, []string{"author holds a character that can't be printed"}},
		"history limit":    {"GET", "/v1/rules/history?limit=0", "", 400, []string{"limit must be a whole number from 1 to 1000"}},
		"too large":        {"POST", "/v1/requests", strings.Repeat(" ", 256<<10+1), 413, []string{"body body exceeds 262144 bytes"}},
		"too large, rules": {"POST", "/v1/rules/check", strings.Repeat(" ", 256<<10+1), 413, []string{"body body exceeds 262144 bytes"}},
		"several": {
			"POST", "/v1/requests?waitMs=x",
			`{"id":7,"caller":"","tasks":0,"declaredRunMs":1.5,"deadlineMs":99999999999999999999,"resources":{"cpuMilli":-1,"gpu":1},"more":1}`, 400,
			[]string{
				"waitMs must be a whole number from 0 to 9223372036854775807", "id must be a string", "caller must not be empty",
				"tasks must be from 1 to 1000", "declaredRunMs must be a whole number", "deadlineMs must be from 1 to 2592000000",
				"resources.cpuMilli must be from 1 to 1000000", "resources.gpu is not a known field", "resources.memoryMiB is missing",
				"more is not a known field", "kind is missing",
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(&fake{submit: func(context.Context, Submission) (RequestState, error) {
				t.Error("invalid input was passed to Submit")
				return RequestState{}, nil
			}})
			w := do(s, c.method, c.path, c.body)
			require.Equal(t, c.status, w.Code)
			errBody := decode[ErrorBody](t, w.Body)
			require.NotEmpty(t, errBody.ID)
			require.Equal(t, errBody.ID, w.Header().Get("X-Request-Id"))
			var got []string
			for _, f := range errBody.Findings {
				got = append(got, f.Field+" "+f.Message)
			}
			require.Equal(t, c.findings, got)
		})
	}
}

// TestErrorsAreNotOutcomes guards against an error that is reported as a refusal
// although it is unknown whether the request runs.
func TestErrorsAreNotOutcomes(t *testing.T) {
	s := newServer(&fake{err: errors.New("peer closed the connection")})
	w := do(s, "POST", "/v1/requests", validBody)
	require.Equal(t, 500, w.Code)
	require.Equal(t, ErrorBody{
		ID: "r1", Error: "peer closed the connection; whether the request took effect is not known",
	}, decode[ErrorBody](t, w.Body))

	s = newServer(&fake{})
	require.Equal(t, 404, do(s, "GET", "/v1/requests/c/r", "").Code)
	require.Equal(t, 404, do(s, "DELETE", "/v1/requests/c/r", "").Code)

	s = newServer(&fake{submit: func(context.Context, Submission) (RequestState, error) { panic("fault") }})
	w = do(s, "POST", "/v1/requests", validBody)
	require.Equal(t, 500, w.Code)
	require.Contains(t, w.Body.String(), "not known")
}

// TestOverloadIsNotARefusal guards against an overloaded instance that responds to
// a repeated submission of a running request with a refusal, which means that the
// request was not run.
func TestOverloadIsNotARefusal(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := newServer(&fake{submit: func(context.Context, Submission) (RequestState, error) {
		close(entered)
		<-release
		return RequestState{Pending: true}, nil
	}})
	s.Limits.RequestsInProgress = 1
	first := make(chan int)
	go func() { first <- do(s, "POST", "/v1/requests", validBody).Code }()
	<-entered
	w := do(s, "POST", "/v1/requests", validBody)
	require.Equal(t, 503, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	errBody := decode[ErrorBody](t, w.Body)
	require.Equal(t, "r1", errBody.ID)
	require.EqualValues(t, 1000, errBody.RetryAfterMs)
	require.Equal(t, 200, do(s, "GET", "/readyz", "").Code, "health checks must not need a request slot")
	close(release)
	require.Equal(t, 202, <-first)
	require.Equal(t, 503, func() int {
		s := newServer(&fake{})
		s.Limits.BufferedBytes = 10
		return do(s, "POST", "/v1/requests", validBody).Code
	}(), "a body above Limits.BufferedBytes must be rejected")
}

// FuzzSubmission guards against a body that crashes the server, and against an
// accepted body with an ambiguous key.
func FuzzSubmission(f *testing.F) {
	f.Add(validBody)
	f.Add(`{"id":"a","caller":"b","kind":"c","resources":{"cpuMilli":1,"memoryMiB":1},"payload":[[[]]]}`)
	f.Add(`{"id":"\u002f","caller":"..","kind":"c","tasks":1e3,"id":"b"}`)
	f.Fuzz(func(t *testing.T, body string) {
		s := newServer(&fake{submit: func(_ context.Context, sub Submission) (RequestState, error) {
			require.NotContains(t, string(sub.Key.Caller)+string(sub.Key.ID), "/")
			require.NotContains(t, string(sub.Key.Caller)+string(sub.Key.ID), "#")
			require.True(t, sub.Payload == nil || json.Valid(sub.Payload))
			return RequestState{Pending: true}, nil
		}})
		w := do(s, http.MethodPost, "/v1/requests", body)
		require.Contains(t, []int{202, 400, 413}, w.Code)
		require.True(t, json.Valid(w.Body.Bytes()))
	})
}

// FuzzCalls guards against a path, query or header that crashes the server or leads
// to a response without a request ID.
func FuzzCalls(f *testing.F) {
	f.Add("GET", "/v1/requests/c/r?waitMs=5", "id-1", "")
	f.Add("PUT", "/v1/rules?expectedVersion=1&author=%00", "\x00", "team")
	f.Add("DELETE", "/v1/requests/%2e%2e/%2F?;=&a", "a/b", "x")
	f.Fuzz(func(t *testing.T, method, requestURI, id, body string) {
		u, err := url.ParseRequestURI(requestURI)
		if err != nil || !strings.HasPrefix(requestURI, "/") {
			return // net/http rejects such a request target
		}
		r := &http.Request{
			Method: method, URL: u, Header: http.Header{"X-Request-Id": {id}},
			Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
		}
		w := httptest.NewRecorder()
		newServer(&fake{state: RequestState{Pending: true}, known: true}).Handler().ServeHTTP(w, r)
		require.Less(t, w.Code, 500)
		if method == http.MethodHead {
			return
		}
		var got struct{ ID string }
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
		require.Empty(t, checkID(got.ID))
		require.Equal(t, got.ID, w.Header().Get("X-Request-Id"))
	})
}

// TestFindingsAreBounded guards against a response much larger than the input.
func TestFindingsAreBounded(t *testing.T) {
	for _, body := range []string{
		"{" + strings.Repeat(`"x":1,`, 20_000) + `"x":1}`,
		`{"resources":{` + strings.Repeat(`"x":1,`, 20_000) + `"x":1}}`,
	} {
		w := do(newServer(&fake{}), "POST", "/v1/requests", body)
		require.Equal(t, 400, w.Code)
		require.Len(t, decode[ErrorBody](t, w.Body).Findings, maxFindings)
	}
	deep := `{"payload":` + strings.Repeat("[", 100_000) + "}"
	require.Equal(t, 400, do(newServer(&fake{}), "POST", "/v1/requests", deep).Code)
}

// BenchmarkSubmit measures the cost of handling one request, without the scheduler.
func BenchmarkSubmit(b *testing.B) {
	s := newServer(&fake{state: RequestState{Pending: true}})
	body := strings.Replace(validBody, "{", `{"payload":{"runMs":100},"deadlineMs":3700,`, 1)
	b.ReportAllocs()
	for b.Loop() {
		if w := do(s, "POST", "/v1/requests", body); w.Code != 202 {
			b.Fatal(w.Code)
		}
	}
}

func ExampleServer() {
	s := newServer(&fake{state: refusedState(descriptor.ReasonDeadlineUnmet, 1250*time.Millisecond)})
	w := do(s, "POST", "/v1/requests?waitMs=5000", `{"id":"route-7","caller":"stylist-1","kind":"routeBuild"}`)
	fmt.Println(w.Code, "Retry-After:", w.Header().Get("Retry-After"))
	fmt.Print(w.Body)
	w = do(s, "POST", "/v1/requests", `{"id":"route 7","kind":"routeBuild","waitMs":5000}`)
	fmt.Println(w.Code)
	for _, f := range mustDecode[ErrorBody](w.Body).Findings {
		fmt.Println(f.Field, f.Message)
	}
	// Output:
	// 429 Retry-After: 2
	// {"id":"route-7","caller":"stylist-1","outcome":"refused","reason":"deadlineUnmet","retryAfterMs":1250,"detail":"d","waitMs":0,"runMs":0}
	// 400
	// id holds ' '; it consists of letters, digits, '.', '_', '-', ':' and '@'
	// waitMs is not a known field
	// caller is missing
}

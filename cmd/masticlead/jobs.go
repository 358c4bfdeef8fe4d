package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/server"
)

func newJobs(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "jobs", Short: "Submit, follow and cancel requests"}
	cmd.AddCommand(newSubmit(o), newStatus(o), newCancel(o))
	return cmd
}

// submitFlags are the flags of jobs submit. They have the names of the members
// of a request body.
type submitFlags struct {
	id, caller, kind, payload, resources, file string
	tasks                                      int
	declaredRun, deadline, wait                time.Duration
}

func newSubmit(o *options) *cobra.Command {
	var f submitFlags
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit a request and wait for its outcome",
		Long: "Submit a request and wait for its outcome.\n\n" +
			"The request is built from the flags, or read as a JSON body from --file.\n" +
			"The command exits 0 if the request completed or is still pending.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := f.body(cmd.InOrStdin())
			if err != nil {
				return err
			}
			return submitOne(cmd, o, f.wait, body)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.id, "id", "", "id of the request, unique for the caller")
	flags.StringVar(&f.caller, "caller", "", "name of the caller")
	flags.StringVar(&f.kind, "kind", "", "kind of work")
	flags.StringVar(&f.payload, "payload", "", "JSON value for the target")
	flags.StringVar(&f.resources, "resources", "", `JSON object such as {"cpuMilli":500,"memoryMiB":64}`)
	flags.IntVar(&f.tasks, "tasks", 0, "tasks that must run at once (default: as the kind's rule says)")
	flags.DurationVar(&f.declaredRun, "declared-run", 0, "expected run time (default: as the kind's rule says)")
	flags.DurationVar(&f.deadline, "deadline", 0, "time in which the answer is needed (default: as the kind's rule says)")
	flags.DurationVar(&f.wait, "wait", 10*time.Second, "time to wait for the outcome")
	flags.StringVar(&f.file, "file", "", "file with the JSON body; - reads standard input")
	cmd.MarkFlagsMutuallyExclusive("file", "id")
	return clientFlags(cmd, o)
}

// body returns the request body.
func (f *submitFlags) body(stdin io.Reader) ([]byte, error) {
	if f.file != "" {
		return readInput(f.file, stdin)
	}
	body := map[string]any{"id": f.id, "caller": f.caller, "kind": f.kind}
	if f.tasks != 0 {
		body["tasks"] = f.tasks
	}
	if f.declaredRun != 0 {
		body["declaredRunMs"] = f.declaredRun.Milliseconds()
	}
	if f.deadline != 0 {
		body["deadlineMs"] = f.deadline.Milliseconds()
	}
	for name, value := range map[string]string{"payload": f.payload, "resources": f.resources} {
		if value == "" {
			continue
		}
		if !json.Valid([]byte(value)) {
			return nil, findingsError{name + ": is not valid JSON"}
		}
		body[name] = json.RawMessage(value)
	}
	return json.Marshal(body)
}

func submitOne(cmd *cobra.Command, o *options, wait time.Duration, body []byte) error {
	query := url.Values{"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	outcome, err := callOutcome(cmd, o, http.MethodPost, "/v1/requests", query, body)
	if err != nil {
		return err
	}
	if outcome.Outcome != "completed" && outcome.Outcome != server.Pending {
		return errNotCompleted
	}
	return nil
}

// errNotCompleted sets the exit code after an outcome was printed.
var errNotCompleted = errors.New("the request did not complete")

func newStatus(o *options) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "status CALLER ID",
		Short: "Print the outcome of a request",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
			_, err := callOutcome(cmd, o, http.MethodGet, requestPath(args), query, nil)
			return err
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "time to wait for the outcome")
	return clientFlags(cmd, o)
}

func newCancel(o *options) *cobra.Command {
	return clientFlags(&cobra.Command{
		Use:   "cancel CALLER ID",
		Short: "Cancel a request",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := callOutcome(cmd, o, http.MethodDelete, requestPath(args), nil, nil)
			return err
		},
	}, o)
}

func requestPath(args []string) string {
	return "/v1/requests/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
}

// callOutcome sends a request about one job and prints its outcome.
func callOutcome(
	cmd *cobra.Command, o *options, method, path string, query url.Values, body []byte,
) (server.OutcomeBody, error) {
	c := newClient(o.server)
	res, err := c.call(cmd.Context(), method, path, query, body)
	if err != nil {
		return server.OutcomeBody{}, err
	}
	outcome, ok := decodeOutcome(res)
	if !ok {
		return server.OutcomeBody{}, c.failure(res)
	}
	if o.json {
		return outcome, printJSON(cmd.OutOrStdout(), outcome)
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), describe(outcome))
	return outcome, err
}

// decodeOutcome returns the outcome in an answer, whatever its status.
func decodeOutcome(res response) (server.OutcomeBody, bool) {
	var outcome server.OutcomeBody
	if err := json.Unmarshal(res.body, &outcome); err != nil || outcome.Outcome == "" {
		return server.OutcomeBody{}, false
	}
	return outcome, true
}

// describe returns an outcome as one line for people.
func describe(o server.OutcomeBody) string {
	line := fmt.Sprintf("%s/%s: %s", o.Caller, o.ID, o.Outcome)
	if o.Reason != "" {
		line += " (" + o.Reason + ")"
	}
	if o.Target != "" {
		line += fmt.Sprintf(" on %s, waited %.1f ms, ran %.1f ms", o.Target, o.WaitMs, o.RunMs)
	}
	if o.RetryAfterMs > 0 {
		line += fmt.Sprintf(", retry after %d ms", o.RetryAfterMs)
	}
	if o.Detail != "" {
		line += ": " + o.Detail
	}
	if len(o.Result) > 0 {
		line += "\n" + string(o.Result)
	}
	return line
}

// maxInputBytes bounds a request body, as the server does.
const maxInputBytes = 256 << 10

// readInput reads a file, or standard input for "-".
func readInput(path string, stdin io.Reader) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(stdin, maxInputBytes+1))
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read the request: %w", err)
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, maxInputBytes+1))
}

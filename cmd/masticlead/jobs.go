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

func newJobsCmd(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "jobs", Short: "Submit, inspect and cancel requests"}
	cmd.AddCommand(newSubmitCmd(o), newStatusCmd(o), newCancelCmd(o))
	return cmd
}

// submitFlags are the flags of jobs submit. Except for wait and file, each sets
// the member of the request body that has its name.
type submitFlags struct {
	id, caller, kind, payload, resources, file string
	tasks                                      int
	declaredRun, deadline, wait                time.Duration
}

func newSubmitCmd(o *options) *cobra.Command {
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
			return submitRequest(cmd, o, f.wait, body)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.id, "id", "", "id of the request, unique per caller")
	flags.StringVar(&f.caller, "caller", "", "name of the caller")
	flags.StringVar(&f.kind, "kind", "", "kind of work")
	flags.StringVar(&f.payload, "payload", "", "JSON value for the target")
	flags.StringVar(&f.resources, "resources", "", `JSON object such as {"cpuMilli":500,"memoryMiB":64}`)
	flags.IntVar(&f.tasks, "tasks", 0, "number of tasks that must run at the same time (default: from the rule of the kind)")
	flags.DurationVar(&f.declaredRun, "declared-run", 0, "expected run time (default: from the rule of the kind)")
	flags.DurationVar(&f.deadline, "deadline", 0, "time within which the outcome is needed (default: from the rule of the kind)")
	flags.DurationVar(&f.wait, "wait", 10*time.Second, "time to wait for the outcome")
	flags.StringVar(&f.file, "file", "", "file with the JSON request body, or - for standard input")
	cmd.MarkFlagsMutuallyExclusive("file", "id")
	return addClientFlags(cmd, o)
}

// body returns the request body, read from the file if one is given and otherwise
// built from the flags.
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

func submitRequest(cmd *cobra.Command, o *options, wait time.Duration, body []byte) error {
	query := url.Values{"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	outcome, err := callForOutcome(cmd, o, http.MethodPost, "/v1/requests", query, body)
	if err != nil {
		return err
	}
	if outcome.Outcome != "completed" && outcome.Outcome != server.Pending {
		return errNotCompleted
	}
	return nil
}

// errNotCompleted makes the command fail after the outcome has been printed.
var errNotCompleted = errors.New("the request did not complete")

func newStatusCmd(o *options) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "status CALLER ID",
		Short: "Print the outcome of a request",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
			_, err := callForOutcome(cmd, o, http.MethodGet, requestPath(args), query, nil)
			return err
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "time to wait for the outcome")
	return addClientFlags(cmd, o)
}

func newCancelCmd(o *options) *cobra.Command {
	return addClientFlags(&cobra.Command{
		Use:   "cancel CALLER ID",
		Short: "Cancel a request",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := callForOutcome(cmd, o, http.MethodDelete, requestPath(args), nil, nil)
			return err
		},
	}, o)
}

func requestPath(args []string) string {
	return "/v1/requests/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
}

// callForOutcome sends an API request about one job and prints the outcome in the
// response.
func callForOutcome(
	cmd *cobra.Command, o *options, method, path string, query url.Values, body []byte,
) (server.OutcomeBody, error) {
	c := newClient(o.server)
	res, err := c.call(cmd.Context(), method, path, query, body)
	if err != nil {
		return server.OutcomeBody{}, err
	}
	outcome, ok := decodeOutcome(res)
	if !ok {
		return server.OutcomeBody{}, c.responseError(res)
	}
	if o.json {
		return outcome, printJSON(cmd.OutOrStdout(), outcome)
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), formatOutcome(outcome))
	return outcome, err
}

// decodeOutcome decodes the outcome in a response, whatever its status. It reports
// false if there is none.
func decodeOutcome(res response) (server.OutcomeBody, bool) {
	var outcome server.OutcomeBody
	if err := json.Unmarshal(res.body, &outcome); err != nil || outcome.Outcome == "" {
		return server.OutcomeBody{}, false
	}
	return outcome, true
}

// formatOutcome returns an outcome as human-readable text: one line, followed by
// the result if there is one.
func formatOutcome(o server.OutcomeBody) string {
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

// maxInputBytes limits a request body. It equals the limit of the server.
const maxInputBytes = 256 << 10

// readInput reads a file, or standard input for "-".
func readInput(path string, stdin io.Reader) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(stdin, maxInputBytes+1))
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, maxInputBytes+1))
}

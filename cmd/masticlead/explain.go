package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// newExplainCmd returns the command that prints the log lines about a request.
func newExplainCmd() *cobra.Command {
	var files []string
	var window time.Duration
	cmd := &cobra.Command{
		Use:   "explain ID --logs FILE...",
		Short: "Print the log lines of several instances about a request, in time order",
		Long: "Print the log lines that contain the ID of a request, in time order, together with changes of leader,\n" +
			"configuration and targets, and limits of its tenant, around that time. The logs are those written by the platform command.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []logLine
			for _, name := range files {
				f, err := os.Open(name)
				if err != nil {
					return fmt.Errorf("explain: %w", err)
				}
				lines, err := readLog(f)
				if cerr := f.Close(); err == nil {
					err = cerr
				}
				if err != nil {
					return fmt.Errorf("explain: read %s: %w", name, err)
				}
				all = append(all, lines...)
			}
			return explain(cmd.OutOrStdout(), args[0], all, window)
		},
	}
	cmd.Flags().StringSliceVar(&files, "logs", nil, "log files of the instances")
	cmd.Flags().DurationVar(&window, "around", 2*time.Second, "time before the first and after the last line of the request within which other changes are shown")
	if err := cmd.MarkFlagRequired("logs"); err != nil {
		panic(err)
	}
	return cmd
}

// logLine is a log line with a timestamp. The last word before the timestamp, if
// any, names the instance.
type logLine struct {
	timestamp time.Time
	instance  string
	text      string
}

var timePattern = regexp.MustCompile(`time=(\S+) (level=.*)`)

func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	const maxLineBytes = 1 << 20
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		m := timePattern.FindStringSubmatchIndex(sc.Text())
		if m == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, sc.Text()[m[2]:m[3]])
		if err != nil {
			continue
		}
		prefix := strings.Fields(sc.Text()[:m[0]])
		l := logLine{timestamp: at, text: sc.Text()[m[4]:m[5]]}
		if len(prefix) > 0 {
			l.instance = prefix[len(prefix)-1]
		}
		out = append(out, l)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("scan: %w", err)
	}
	return out, nil
}

// cellEvents holds the prefixes of messages about events that can affect all requests
// of a cell.
var cellEvents = []string{
	"took over", "leadership ends", "leader hands over", "cell loaded", "leader can't renew", "coordination suspended",
	"instance started", "instance drains", "configuration in force", "target set aside", "target unreachable", "target lapsed", "target speeds changed",
}

var tenantPattern = regexp.MustCompile(` tenant=("[^"]*"|\S+)`)

// tenantOf returns the attribute that names the tenant of a line, or "".
func tenantOf(l logLine) string { return strings.TrimSpace(tenantPattern.FindString(l.text)) }

// affects reports whether a line is about an event that can affect the requests of a
// tenant, which is named as by tenantOf.
func affects(l logLine, tenant string) bool {
	if strings.Contains(l.text, `msg="tenant limited or released"`) {
		return tenant != "" && tenantOf(l) == tenant
	}
	return slices.ContainsFunc(cellEvents, func(c string) bool { return strings.Contains(l.text, `msg="`+c) })
}

func explain(out io.Writer, id string, lines []logLine, window time.Duration) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	var first, last time.Time
	var tenant string
	for _, l := range lines {
		if strings.Contains(l.text, id) {
			if first.IsZero() {
				first = l.timestamp
			}
			last = l.timestamp
			tenant = cmp.Or(tenantOf(l), tenant)
		}
	}
	if first.IsZero() {
		return fmt.Errorf("explain: no log line contains %q", id)
	}
	for _, l := range lines {
		matches := strings.Contains(l.text, id)
		if !matches {
			if l.timestamp.Before(first.Add(-window)) || l.timestamp.After(last.Add(window)) || !affects(l, tenant) {
				continue
			}
		}
		marker := " "
		if matches {
			marker = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs %-22s %s\n", marker, l.timestamp.Sub(first).Seconds(), l.instance, l.text); err != nil {
			return fmt.Errorf("explain: write: %w", err)
		}
	}
	return nil
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// newExplain returns the command that tells a request's story from logs.
func newExplain() *cobra.Command {
	var files []string
	var around time.Duration
	cmd := &cobra.Command{
		Use:   "explain ID --logs FILE...",
		Short: "Print what the logs of several instances say of a request, in order",
		Long: "Print the lines that name a request, in order of time, with the changes of leader, configuration and\n" +
			"targets that happened meanwhile. The logs are those of the platform command.",
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
			return explain(cmd.OutOrStdout(), args[0], all, around)
		},
	}
	cmd.Flags().StringSliceVar(&files, "logs", nil, "log files of the instances")
	cmd.Flags().DurationVar(&around, "around", 2*time.Second, "time before and after the request for which other changes are shown")
	if err := cmd.MarkFlagRequired("logs"); err != nil {
		panic(err)
	}
	return cmd
}

// logLine is a line with a time. Text before the time names the instance.
type logLine struct {
	at   time.Time
	who  string
	text string
}

var timeField = regexp.MustCompile(`time=(\S+) (level=.*)`)

func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	const longest = 1 << 20
	sc.Buffer(nil, longest)
	for sc.Scan() {
		m := timeField.FindStringSubmatchIndex(sc.Text())
		if m == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, sc.Text()[m[2]:m[3]])
		if err != nil {
			continue
		}
		who := strings.Fields(sc.Text()[:m[0]])
		l := logLine{at: at, text: sc.Text()[m[4]:m[5]]}
		if len(who) > 0 {
			l.who = who[len(who)-1]
		}
		out = append(out, l)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("scan: %w", err)
	}
	return out, nil
}

// changes are the lines that matter to every request.
var changes = []string{
	"took over", "leadership ends", "leader hands over", "cell loaded", "leader can't renew", "coordination suspended",
	"instance started", "instance drains", "configuration in force", "target set aside", "target unreachable", "target lapsed",
}

func explain(out io.Writer, id string, all []logLine, around time.Duration) error {
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	var first, last time.Time
	for _, l := range all {
		if strings.Contains(l.text, id) {
			if first.IsZero() {
				first = l.at
			}
			last = l.at
		}
	}
	if first.IsZero() {
		return fmt.Errorf("explain: no line names %q", id)
	}
	for _, l := range all {
		own := strings.Contains(l.text, id)
		if !own {
			if l.at.Before(first.Add(-around)) || l.at.After(last.Add(around)) ||
				!slices.ContainsFunc(changes, func(c string) bool { return strings.Contains(l.text, `msg="`+c) }) {
				continue
			}
		}
		mark := " "
		if own {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs %-22s %s\n", mark, l.at.Sub(first).Seconds(), l.who, l.text); err != nil {
			return fmt.Errorf("explain: write: %w", err)
		}
	}
	return nil
}

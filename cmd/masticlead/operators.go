package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/parser"
	"github.com/masticlead/masticlead/server"
)

func newRulesCmd(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "rules", Short: "Check, apply and inspect the rules of the cell"}
	cmd.AddCommand(newCheckCmd(o), newApplyCmd(o), newShowCmd(o), newHistoryCmd(o), newRulesStatusCmd(o))
	return cmd
}

// loadRules reads and parses a rules file.
func loadRules(path string) ([]byte, *descriptor.Rules, error) {
	body, err := readRules(path)
	if err != nil {
		return nil, nil, err
	}
	rules, err := parser.Parse(path, body)
	return body, rules, err
}

func newCheckCmd(o *options) *cobra.Command {
	return addClientFlags(&cobra.Command{
		Use:   "check FILE",
		Short: "Validate a rules file and print all findings",
		Long: "Validate a rules file and print all findings.\n\n" +
			"The file is checked locally. With --server, that instance checks it as well.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, rules, err := loadRules(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("server") {
				c := newClient(o.server)
				c.rulesFile = args[0]
				if _, err := callJSON[server.CheckBody](cmd.Context(), c, http.MethodPost, "/v1/rules/check", nil, body); err != nil {
					return err
				}
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), map[string]int{
					"teams": len(rules.Teams), "callers": len(rules.Callers), "access": len(rules.Access), "kinds": len(rules.Kinds),
				})
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %d teams, %d caller rules, %d access rules, %d kinds; no findings\n",
				args[0], len(rules.Teams), len(rules.Callers), len(rules.Access), len(rules.Kinds))
			return err
		},
	}, o)
}

func newApplyCmd(o *options) *cobra.Command {
	var expected uint64
	var author string
	cmd := &cobra.Command{
		Use:   "apply FILE --expected VERSION",
		Short: "Apply a rules file",
		Long: "Apply a rules file on all instances.\n\n" +
			"--expected is the version that the file replaces, as printed by rules show, or\n" +
			"0 for the first rules. If another version is in force by then, nothing is\n" +
			"changed.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, _, err := loadRules(args[0])
			if err != nil {
				return err
			}
			if author == "" {
				return errors.New("--author is missing")
			}
			c := newClient(o.server)
			c.rulesFile = args[0]
			query := url.Values{"expectedVersion": {strconv.FormatUint(expected, 10)}, "author": {author}}
			out, err := callJSON[server.RulesBody](cmd.Context(), c, http.MethodPut, "/v1/rules", query, body)
			if err != nil {
				return err
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), out)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d applied\n", out.Version)
			return err
		},
	}
	cmd.Flags().Uint64Var(&expected, "expected", 0, "version that the file replaces")
	cmd.Flags().StringVar(&author, "author", os.Getenv("USER"), "name of the operator")
	_ = cmd.MarkFlagRequired("expected")
	return addClientFlags(cmd, o)
}

func newShowCmd(o *options) *cobra.Command {
	return newGetCmd(o, "show", "Print the rules in force on an instance", "/v1/rules",
		func(w io.Writer, b server.RulesBody) {
			_, _ = fmt.Fprintf(w, "# version %d by %s, %s\n%s", b.Version, b.Author, formatTime(b.Applied), b.Body)
		})
}

func newHistoryCmd(o *options) *cobra.Command {
	return newGetCmd(o, "history", "List the latest versions of the rules", "/v1/rules/history",
		tablePrinter("VERSION\tAPPLIED\tAUTHOR\tHASH", func(b server.HistoryBody) (rows [][]any) {
			for _, v := range b.Versions {
				rows = append(rows, []any{v.Version, formatTime(v.Applied), v.Author, v.Hash})
			}
			return rows
		}))
}

func newRulesStatusCmd(o *options) *cobra.Command {
	return newGetCmd(o, "status", "List the rules version in force on each instance", "/v1/rules/status",
		tablePrinter("INSTANCE\tDATA CENTRE\tVERSION\tSINCE\tREACHABLE", func(b server.RulesStatusBody) (rows [][]any) {
			for _, i := range b.Instances {
				rows = append(rows, []any{i.Instance, i.DataCentre, i.Version, formatTime(i.Since), i.Reachable})
			}
			return rows
		}))
}

func newInstancesCmd(o *options) *cobra.Command {
	cmd := newGetCmd(o, "instances", "List the instances of the cell", "/v1/instances",
		tablePrinter("INSTANCE\tDATA CENTRE\tSTATE\tRULES\tSLICES\tQUEUED\tRUNNING", func(b server.InstancesBody) (rows [][]any) {
			for _, i := range b.Instances {
				rows = append(rows, []any{i.ID, i.DataCentre, i.State, i.Version, i.Slices, i.Queued, i.Running})
			}
			return rows
		}))
	cmd.AddCommand(newForgetCmd(o))
	return cmd
}

func newForgetCmd(o *options) *cobra.Command {
	var confirm bool
	cmd := &cobra.Command{
		Use:   "forget NAME --confirm",
		Short: "Remove the session of an instance that has terminated",
		Long: "Remove the session of an instance that has terminated, so that the other instances\n" +
			"of its data centre take over its slices at once.\n\n" +
			"This is needed only if no instance can consent to the takeover, for example\n" +
			"after all instances of a data centre were replaced under new names. --server\n" +
			"must be an instance of the same data centre.\n\n" +
			"--confirm asserts that the process has definitely terminated and that no\n" +
			"instance will return under this name. The command does not wait for the lease\n" +
			"of the instance to expire: if the instance is only paused or partitioned, it\n" +
			"and the new owner may use the same targets at the same time.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !confirm {
				return fmt.Errorf("--confirm is missing: forget only an instance that has definitely terminated and will not return as %s", args[0])
			}
			path := "/v1/instances/" + url.PathEscape(args[0]) + "/forget"
			out, err := callJSON[server.ForgetBody](cmd.Context(), newClient(o.server), http.MethodPost, path, nil, nil)
			if err != nil {
				return err
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), out)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "session of %s removed\n", out.Instance)
			return err
		},
	}
	cmd.Flags().BoolVar(&confirm, "confirm", false, "the instance has definitely terminated and will not return under its name")
	return addClientFlags(cmd, o)
}

func newTargetsCmd(o *options) *cobra.Command {
	return newGetCmd(o, "targets", "List the targets known to an instance", "/v1/targets",
		tablePrinter("TARGET\tDATA CENTRE\tRACK\tOWNER\tSTATE\tSLOTS\tCPU MILLI\tMEMORY MIB", func(b server.TargetsBody) (rows [][]any) {
			for _, t := range b.Targets {
				rows = append(rows, []any{
					t.ID, t.DataCentre, t.Rack, t.Owner, t.State,
					formatUsage(t.Used.Slots, t.Capacity.Slots), formatUsage(t.Used.CPU, t.Capacity.CPU), formatUsage(t.Used.Memory, t.Capacity.Memory),
				})
			}
			return rows
		}))
}

// newGetCmd returns a command that sends a GET request for a path and prints the
// response.
func newGetCmd[T any](o *options, use, short, path string, render func(io.Writer, T)) *cobra.Command {
	return addClientFlags(&cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out, err := callJSON[T](cmd.Context(), newClient(o.server), http.MethodGet, path, nil, nil)
			if err != nil {
				return err
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), out)
			}
			render(cmd.OutOrStdout(), out)
			return nil
		},
	}, o)
}

// tablePrinter returns a function that prints rows as aligned columns under a
// header.
func tablePrinter[T any](header string, rows func(T) [][]any) func(io.Writer, T) {
	return func(w io.Writer, v T) {
		const padding = 2
		tw := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
		_, _ = fmt.Fprintln(tw, header)
		for _, row := range rows(v) {
			for i, value := range row {
				if i > 0 {
					_, _ = fmt.Fprint(tw, "\t")
				}
				_, _ = fmt.Fprint(tw, value)
			}
			_, _ = fmt.Fprintln(tw)
		}
		_ = tw.Flush()
	}
}

func formatUsage[N ~int | ~int64](used, capacity N) string {
	return fmt.Sprintf("%d/%d", used, capacity)
}

// formatTime formats a time as RFC 3339 in UTC, or returns "-" if it is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

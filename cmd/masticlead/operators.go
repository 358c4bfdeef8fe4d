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

func newRules(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "rules", Short: "Check, change and compare the rules of the cell"}
	cmd.AddCommand(newCheck(o), newApply(o), newShow(o), newHistory(o), newRulesStatus(o))
	return cmd
}

// loadRules reads a rules file and checks it.
func loadRules(path string) ([]byte, *descriptor.Rules, error) {
	body, err := readRules(path)
	if err != nil {
		return nil, nil, err
	}
	rules, err := parser.Parse(path, body)
	return body, rules, err
}

func newCheck(o *options) *cobra.Command {
	return clientFlags(&cobra.Command{
		Use:   "check FILE",
		Short: "Print all findings of a rules file",
		Long: "Print all findings of a rules file.\n\n" +
			"The file is checked here. With --server it is also checked by that instance.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, rules, err := loadRules(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("server") {
				c := newClient(o.server)
				c.file = args[0]
				if _, err := get[server.CheckBody](cmd.Context(), c, http.MethodPost, "/v1/rules/check", nil, body); err != nil {
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

func newApply(o *options) *cobra.Command {
	var expected uint64
	var author string
	cmd := &cobra.Command{
		Use:   "apply FILE --expected VERSION",
		Short: "Put a rules file in force",
		Long: "Put a rules file in force on all instances.\n\n" +
			"--expected is the version that the file replaces, as rules show prints it, or\n" +
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
			c.file = args[0]
			query := url.Values{"expectedVersion": {strconv.FormatUint(expected, 10)}, "author": {author}}
			out, err := get[server.RulesBody](cmd.Context(), c, http.MethodPut, "/v1/rules", query, body)
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
	return clientFlags(cmd, o)
}

func newShow(o *options) *cobra.Command {
	return listing(o, "show", "Print the rules in force on an instance", "/v1/rules",
		func(w io.Writer, b server.RulesBody) {
			_, _ = fmt.Fprintf(w, "# version %d by %s, %s\n%s", b.Version, b.Author, clock(b.Applied), b.Body)
		})
}

func newHistory(o *options) *cobra.Command {
	return listing(o, "history", "List the last versions of the rules", "/v1/rules/history",
		table("VERSION\tAPPLIED\tAUTHOR\tHASH", func(b server.HistoryBody) (rows [][]any) {
			for _, v := range b.Versions {
				rows = append(rows, []any{v.Version, clock(v.Applied), v.Author, v.Hash})
			}
			return rows
		}))
}

func newRulesStatus(o *options) *cobra.Command {
	return listing(o, "status", "List the version in force on each instance", "/v1/rules/status",
		table("INSTANCE\tDATA CENTRE\tVERSION\tSINCE\tREACHABLE", func(b server.RulesStatusBody) (rows [][]any) {
			for _, i := range b.Instances {
				rows = append(rows, []any{i.Instance, i.DataCentre, i.Version, clock(i.Since), i.Reachable})
			}
			return rows
		}))
}

func newInstances(o *options) *cobra.Command {
	cmd := listing(o, "instances", "List the instances of the cell", "/v1/instances",
		table("INSTANCE\tDATA CENTRE\tSTATE\tRULES\tSLICES\tQUEUED\tRUNNING", func(b server.InstancesBody) (rows [][]any) {
			for _, i := range b.Instances {
				rows = append(rows, []any{i.ID, i.DataCentre, i.State, i.Version, i.Slices, i.Queued, i.Running})
			}
			return rows
		}))
	cmd.AddCommand(newForget(o))
	return cmd
}

func newForget(o *options) *cobra.Command {
	var confirm bool
	cmd := &cobra.Command{
		Use:   "forget NAME --confirm",
		Short: "Remove the session of an instance that has ended",
		Long: "Remove the session of an instance that has ended, so that the other instances\n" +
			"of its data centre take over its slices at once.\n\n" +
			"This is needed only if nobody can consent to the takeover, such as after all\n" +
			"instances of a data centre were replaced under new names. --server must be an\n" +
			"instance of the same data centre.\n\n" +
			"--confirm states that the process has surely ended and that no instance will\n" +
			"return under this name. The lease of the instance is not waited for: if it is\n" +
			"only paused or cut off, it and the new owner may use the same targets at the\n" +
			"same time.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !confirm {
				return fmt.Errorf("--confirm is missing: forget only an instance that has surely ended and will not return as %s", args[0])
			}
			path := "/v1/instances/" + url.PathEscape(args[0]) + "/forget"
			out, err := get[server.ForgetBody](cmd.Context(), newClient(o.server), http.MethodPost, path, nil, nil)
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
	cmd.Flags().BoolVar(&confirm, "confirm", false, "the instance has surely ended and will not return under its name")
	return clientFlags(cmd, o)
}

func newTargets(o *options) *cobra.Command {
	return listing(o, "targets", "List the targets that an instance knows", "/v1/targets",
		table("TARGET\tDATA CENTRE\tRACK\tOWNER\tSTATE\tSLOTS\tCPU MILLI\tMEMORY MIB", func(b server.TargetsBody) (rows [][]any) {
			for _, t := range b.Targets {
				rows = append(rows, []any{
					t.ID, t.DataCentre, t.Rack, t.Owner, t.State,
					usage(t.Used.Slots, t.Capacity.Slots), usage(t.Used.CPU, t.Capacity.CPU), usage(t.Used.Memory, t.Capacity.Memory),
				})
			}
			return rows
		}))
}

// listing returns a command that prints the answer of one path.
func listing[T any](o *options, use, short, path string, show func(io.Writer, T)) *cobra.Command {
	return clientFlags(&cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out, err := get[T](cmd.Context(), newClient(o.server), http.MethodGet, path, nil, nil)
			if err != nil {
				return err
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), out)
			}
			show(cmd.OutOrStdout(), out)
			return nil
		},
	}, o)
}

// table returns a function that prints rows under a header.
func table[T any](header string, rows func(T) [][]any) func(io.Writer, T) {
	return func(w io.Writer, v T) {
		const padding = 2
		tw := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
		_, _ = fmt.Fprintln(tw, header)
		for _, row := range rows(v) {
			for i, cell := range row {
				if i > 0 {
					_, _ = fmt.Fprint(tw, "\t")
				}
				_, _ = fmt.Fprint(tw, cell)
			}
			_, _ = fmt.Fprintln(tw)
		}
		_ = tw.Flush()
	}
}

func usage[N ~int | ~int64](used, capacity N) string { return fmt.Sprintf("%d/%d", used, capacity) }

// clock prints a time, or "-" if it is not known.
func clock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

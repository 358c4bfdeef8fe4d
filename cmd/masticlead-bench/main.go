// Command masticlead-bench measures the scheduler's decisions and their cost
// and compares them with the bounds of the design page.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/measurer"
)

// errBoundMissed makes the program exit with code 1.
var errBoundMissed = errors.New("a bound is missed")

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var scenario string
	var seed uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use:           "masticlead-bench",
		Short:         "Measure the scheduler against its bounds",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.OutOrStdout(), scenario, measurer.Env{Seed: seed}, asJSON)
		},
	}
	cmd.Flags().StringVar(&scenario, "scenario", "all", "scenario to run, or all but the long ones")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random source")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per metric")
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the scenarios",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, s := range measurer.Scenarios() {
				fmt.Fprintf(cmd.OutOrStdout(), "%-12s %s\n", s.Name, s.Doc)
			}
			return nil
		},
	})
	return cmd
}

func run(w io.Writer, scenario string, env measurer.Env, asJSON bool) error {
	names := []string{scenario}
	if scenario == "all" {
		names = names[:0]
		for _, s := range measurer.Scenarios() {
			if !s.ByNameOnly {
				names = append(names, s.Name)
			}
		}
	}
	var errs []error
	missed := false
	for _, name := range names {
		metrics, err := measurer.Run(name, env)
		if err != nil {
			errs = append(errs, err)
		}
		for _, m := range metrics {
			missed = missed || !m.WithinBound()
		}
		if err := printMetrics(w, metrics, asJSON); err != nil {
			return err
		}
	}
	if missed {
		errs = append(errs, errBoundMissed)
	}
	return errors.Join(errs...)
}

func printMetrics(w io.Writer, metrics []measurer.Metric, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetEscapeHTML(false)
		for _, m := range metrics {
			if err := enc.Encode(m); err != nil {
				return err
			}
		}
		return nil
	}
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, m := range metrics {
		baseline := "-"
		if !math.IsNaN(m.Baseline) {
			baseline = fmt.Sprintf("%.5g", m.Baseline)
		}
		verdict := "ok"
		if !m.WithinBound() {
			verdict = "MISSED"
		}
		fmt.Fprintf(tab, "%s\t%s\t%.5g %s\tbaseline %s\t%s\t%s\n",
			m.Scenario, m.Name, m.Value, m.Unit, baseline, m.Bound, verdict)
	}
	return tab.Flush()
}

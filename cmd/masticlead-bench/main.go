// Command masticlead-bench measures the quality and the cost of scheduling
// decisions and checks the results against the bounds in the design document.
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

// errBoundMissed is returned if a metric misses its bound, so that the program
// exits with code 1.
var errBoundMissed = errors.New("at least one metric missed its bound")

func main() {
	if err := newRootCmd().Execute(); err != nil {
		os.Exit(1)
	}
}

func newRootCmd() *cobra.Command {
	var scenario string
	var seed uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use:           "masticlead-bench",
		Short:         "Measure the scheduler and check the results against the design bounds",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runScenarios(cmd.OutOrStdout(), scenario, measurer.Env{Seed: seed}, asJSON)
		},
	}
	cmd.Flags().StringVar(&scenario, "scenario", "all", `name of the scenario to run, or "all" for every scenario except the long-running ones`)
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed for the random number generator")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per metric")
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the available scenarios",
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

// runScenarios runs the named scenario, or all but the long-running ones if the
// name is "all", and writes their metrics to w. A failed scenario or a missed
// bound does not stop the remaining scenarios; a write error does.
func runScenarios(w io.Writer, scenario string, env measurer.Env, asJSON bool) error {
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
	boundMissed := false
	for _, name := range names {
		metrics, err := measurer.Run(name, env)
		if err != nil {
			errs = append(errs, err)
		}
		for _, m := range metrics {
			boundMissed = boundMissed || !m.WithinBound()
		}
		if err := printMetrics(w, metrics, asJSON); err != nil {
			return err
		}
	}
	if boundMissed {
		errs = append(errs, errBoundMissed)
	}
	return errors.Join(errs...)
}

// printMetrics writes the metrics to w as aligned columns, or as one JSON object
// per line if asJSON is set.
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
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, m := range metrics {
		baseline := "-"
		if !math.IsNaN(m.Baseline) {
			baseline = fmt.Sprintf("%.5g", m.Baseline)
		}
		status := "ok"
		if !m.WithinBound() {
			status = "MISSED"
		}
		fmt.Fprintf(tw, "%s\t%s\t%.5g %s\tbaseline %s\t%s\t%s\n",
			m.Scenario, m.Name, m.Value, m.Unit, baseline, m.Bound, status)
	}
	return tw.Flush()
}

package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/platform"
	"github.com/masticlead/masticlead/validator"
	w "github.com/masticlead/masticlead/workload"
)

// Exit codes of config check.
const (
	exitConfigFindings   = 1
	exitConfigUnreadable = 2
)

// exitError ends the program with a code of its own. Err may be nil.
type exitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.Err }

func newConfigCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check configurations of the users' platform"}
	cmd.AddCommand(newConfigCheckCmd())
	return cmd
}

// configCheck holds the flags of config check.
type configCheck struct {
	inForce string
	targets string
	task    w.Resources
	json    bool
}

// configReport is the output of config check with --json.
type configReport struct {
	Findings []configFinding `json:"findings"`
	Changes  []string        `json:"changes"`
}

type configFinding struct {
	platform.Position
	Kind    string `json:"kind"`
	Place   string `json:"place"`
	Message string `json:"message"`
}

func newConfigCheckCmd() *cobra.Command {
	var o configCheck
	cmd := &cobra.Command{
		Use:   "check NEW",
		Short: "Check a configuration before it is stored, and show what it changes",
		Long: "Check a configuration, in the form in which it is stored, with the rules that instances apply when\n" +
			"they load it. With --in-force, also print what differs from that version.\n\n" +
			"The exit code is 0 without findings, 1 with findings, and 2 if a file can't be read. API keys are\n" +
			"never printed.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := o.run(args[0])
			if err != nil {
				return &exitError{exitConfigUnreadable, err}
			}
			if err := o.print(cmd.OutOrStdout(), args[0], report); err != nil {
				return err
			}
			if len(report.Findings) > 0 {
				return &exitError{Code: exitConfigFindings}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&o.inForce, "in-force", "", "file with the configuration in force")
	cmd.Flags().StringVar(&o.targets, "targets", "", "file with a JSON array of target entries, to compare with the capacity of the cell")
	cmd.Flags().Int64Var(&o.task.CPU, "task-cpu", 0, "thousandths of a core of the largest task, to compare with caps")
	cmd.Flags().Int64Var(&o.task.Mem, "task-mem", 0, "MB of memory of the largest task")
	cmd.Flags().Int64Var(&o.task.GPU, "task-gpu", 0, "accelerators of the largest task")
	cmd.Flags().BoolVar(&o.json, "json", false, "print the report as JSON")
	return cmd
}

func readConfigFile(path string) (*platform.ConfigFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	f, err := platform.ParseConfigFile(text)
	var syntax *platform.SyntaxError
	if errors.As(err, &syntax) {
		return nil, fmt.Errorf("%s:%d:%d: %w", path, syntax.Line, syntax.Column, syntax.Err)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func (o *configCheck) run(path string) (*configReport, error) {
	next, err := readConfigFile(path)
	if err != nil {
		return nil, err
	}
	v := validator.Validator{LargestTask: o.task}
	if o.targets != "" {
		text, err := os.ReadFile(o.targets)
		if err != nil {
			return nil, fmt.Errorf("read list of targets: %w", err)
		}
		if v.Targets, err = platform.ParseTargetsFile(text); err != nil {
			return nil, err
		}
	}
	report := &configReport{Findings: []configFinding{}, Changes: []string{}}
	for _, f := range v.Validate(next.Config) {
		report.Findings = append(report.Findings, configFinding{next.Locate(f.Place), f.Kind.String(), f.Place.String(), f.Message})
	}
	if o.inForce != "" {
		old, err := readConfigFile(o.inForce)
		if err != nil {
			return nil, err
		}
		report.Changes = append(report.Changes, validator.Diff(old.Config, next.Config)...)
	}
	return report, nil
}

func (o *configCheck) print(out io.Writer, path string, r *configReport) error {
	if o.json {
		return printJSON(out, r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(out, "%s:%d:%d: %s: %s: %s\n", path, f.Line, f.Column, f.Kind, f.Place, f.Message); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(out, "change: %s\n", c); err != nil {
			return err
		}
	}
	return nil
}

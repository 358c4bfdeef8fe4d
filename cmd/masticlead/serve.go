package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/examples"
	"github.com/masticlead/masticlead/loader"
	"github.com/masticlead/masticlead/parser"
)

func newServeCmd() *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run an entry instance until SIGINT or SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := loader.Load(config)
			if err != nil {
				return err
			}
			return serveInstance(cmd.Context(), settings)
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "settings file of the instance")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

type devFlags struct {
	jobs, rules string
	concurrency int
}

func newDevCmd() *cobra.Command {
	var f devFlags
	cmd := &cobra.Command{
		Use:   "dev [--jobs FILE]",
		Short: "Run a small cell on loopback with emulated platform services",
		Long: "Run a small cell on loopback with emulated platform services.\n\n" +
			"With --jobs, submit each line of the file as a request, print one JSON line per\n" +
			"request and a summary, and exit 0 if every request had an outcome.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runDev(cmd, f) },
	}
	cmd.Flags().StringVar(&f.jobs, "jobs", "", "file with one JSON request body per line")
	cmd.Flags().StringVar(&f.rules, "rules", "", "rules file (default: the embedded examples/dev.rules)")
	cmd.Flags().IntVar(&f.concurrency, "concurrency", defaultConcurrency, "maximum number of concurrent requests")
	return cmd
}

func runDev(cmd *cobra.Command, f devFlags) error {
	rules, err := devRules(f.rules)
	if err != nil {
		return err
	}
	var jobs []job
	if f.jobs != "" {
		if jobs, err = loadJobs(f.jobs); err != nil {
			return err
		}
	}
	cell, err := startDevCell(cmd.Context(), rules)
	if err != nil {
		return fmt.Errorf("start development cell: %w", err)
	}
	runErr := submitOrWait(cmd, f, cell, jobs)
	if err := cell.Close(); err != nil && runErr == nil {
		runErr = fmt.Errorf("stop development cell: %w", err)
	}
	return runErr
}

// submitOrWait submits the jobs to the cell. Without a jobs file it waits until
// the command is interrupted.
func submitOrWait(cmd *cobra.Command, f devFlags, cell devCell, jobs []job) error {
	if f.jobs == "" {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "masticlead: cell is ready at %s; interrupt to stop\n", cell.URL())
		<-cmd.Context().Done()
		return nil
	}
	b := newBatch(cell.URL(), f.concurrency, cmd.OutOrStdout())
	return b.run(cmd.Context(), jobs)
}

// devRules returns the rules file at path after validation, or the embedded rules
// if path is empty.
func devRules(path string) ([]byte, error) {
	if path == "" {
		return examples.Files.ReadFile("dev.rules")
	}
	body, err := readRules(path)
	if err != nil {
		return nil, err
	}
	_, err = parser.Parse(path, body)
	return body, err
}

// loadJobs reads a file with one request body per line.
func loadJobs(path string) ([]job, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read jobs: %w", err)
	}
	defer func() { _ = file.Close() }()
	return readJobs(path, file)
}

// readRules reads a rules file, but at most one byte more than the parser accepts.
func readRules(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read rules: %w", err)
	}
	defer func() { _ = file.Close() }()
	body, err := io.ReadAll(io.LimitReader(file, parser.MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read rules: %w", err)
	}
	return body, nil
}

// defaultDeadline applies to a job whose line sets no deadline.
const defaultDeadline = time.Minute

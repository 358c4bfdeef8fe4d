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

func newServe() *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run an entry instance until it gets SIGTERM",
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

// devFlags are the flags of the dev command.
type devFlags struct {
	jobs, rules string
	concurrency int
}

func newDev() *cobra.Command {
	var f devFlags
	cmd := &cobra.Command{
		Use:   "dev [--jobs FILE]",
		Short: "Run a small cell on loopback with stand-ins of the platform",
		Long: "Run a small cell on loopback with stand-ins of the platform.\n\n" +
			"With --jobs, submit every line of the file, print one JSON line for each\n" +
			"outcome and a summary, and exit 0 if every request had an outcome.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runDev(cmd, f) },
	}
	cmd.Flags().StringVar(&f.jobs, "jobs", "", "file with one request body a line")
	cmd.Flags().StringVar(&f.rules, "rules", "", "rules file (default: the built-in examples/dev.rules)")
	cmd.Flags().IntVar(&f.concurrency, "concurrency", defaultConcurrency, "requests in progress at one time")
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
	cell, err := startDev(cmd.Context(), rules)
	if err != nil {
		return fmt.Errorf("start the development cell: %w", err)
	}
	runErr := useCell(cmd, f, cell, jobs)
	if err := cell.Close(); err != nil && runErr == nil {
		runErr = fmt.Errorf("stop the development cell: %w", err)
	}
	return runErr
}

// useCell submits the jobs, or keeps the cell until the command is interrupted.
func useCell(cmd *cobra.Command, f devFlags, cell devCell, jobs []job) error {
	if f.jobs == "" {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "masticlead: cell is ready at %s; interrupt to stop\n", cell.URL())
		<-cmd.Context().Done()
		return nil
	}
	b := newBatch(cell.URL(), f.concurrency, cmd.OutOrStdout())
	return b.run(cmd.Context(), jobs)
}

// devRules reads and checks the rules of the development cell.
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

// loadJobs reads a file of request bodies.
func loadJobs(path string) ([]job, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read jobs: %w", err)
	}
	defer func() { _ = file.Close() }()
	return readJobs(path, file)
}

// readRules reads a rules file, but not much more than its permitted size.
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

// ownDeadline applies to a job whose line has no deadline.
const ownDeadline = time.Minute

// Command masticlead runs an entry instance and is the client of its API.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/parser"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitFindings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal the default action is back, so that a second one
	// ends a shutdown that hangs.
	context.AfterFunc(ctx, stop)
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run carries out one command and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	var findings findingsError
	var parsed parser.Findings
	switch {
	case errors.As(err, &findings):
		_, _ = fmt.Fprintln(stderr, findings.Error())
		return exitFindings
	case errors.As(err, &parsed):
		_, _ = fmt.Fprintln(stderr, parsed.Error())
		return exitFindings
	default:
		_, _ = fmt.Fprintln(stderr, "masticlead: "+err.Error())
		return exitFailure
	}
}

// options holds the flags that several commands share.
type options struct {
	json   bool
	server string
}

// newRoot builds the command tree.
func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "masticlead",
		Short:         "A cluster scheduler for heterogeneous workloads",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		newServe(), newDev(), newPlatform(), newExplain(),
		newJobs(o), newRules(o), newInstances(o), newTargets(o),
		newVersion(o),
	)
	return root
}

// clientFlags adds the flags of a command that talks to an instance.
func clientFlags(cmd *cobra.Command, o *options) *cobra.Command {
	cmd.Flags().BoolVar(&o.json, "json", false, "print the answer as JSON")
	cmd.Flags().StringVar(&o.server, "server", defaultServer, "base URL of an instance")
	return cmd
}

func newVersion(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version, revision := buildVersion()
			if o.json {
				return printJSON(cmd.OutOrStdout(), map[string]string{"version": version, "revision": revision})
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "masticlead", version, revision)
			return err
		},
	}
	cmd.Flags().BoolVar(&o.json, "json", false, "print the version as JSON")
	return cmd
}

// buildVersion returns the module version and the commit that the program was
// built from, as far as the build recorded them.
func buildVersion() (version, revision string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown", ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return info.Main.Version, revision
}

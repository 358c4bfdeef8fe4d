// Command masticlead runs instances of the scheduler and is the command-line
// client of their API.
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
	// Restore the default action after the first signal, so that a second one
	// terminates a shutdown that hangs.
	context.AfterFunc(ctx, stop)
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	var exit *exitError
	if errors.As(err, &exit) {
		if exit.Err != nil {
			_, _ = fmt.Fprintln(stderr, "masticlead: "+exit.Error())
		}
		return exit.Code
	}
	var findings findingsError
	var parserFindings parser.Findings
	switch {
	case errors.As(err, &findings):
		_, _ = fmt.Fprintln(stderr, findings.Error())
		return exitFindings
	case errors.As(err, &parserFindings):
		_, _ = fmt.Fprintln(stderr, parserFindings.Error())
		return exitFindings
	default:
		_, _ = fmt.Fprintln(stderr, "masticlead: "+err.Error())
		return exitFailure
	}
}

// options holds the flags shared by several commands.
type options struct {
	json   bool
	server string
}

// newRootCmd returns the root command with all subcommands.
func newRootCmd() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "masticlead",
		Short:         "A cluster scheduler for heterogeneous workloads",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		newServeCmd(), newDevCmd(), newPlatformCmd(), newExplainCmd(),
		newJobsCmd(o), newRulesCmd(o), newInstancesCmd(o), newTargetsCmd(o), newTenantsCmd(o),
		newConfigCmd(), newVersionCmd(o),
	)
	return root
}

// addClientFlags adds the flags shared by all commands that call the API.
func addClientFlags(cmd *cobra.Command, o *options) *cobra.Command {
	cmd.Flags().BoolVar(&o.json, "json", false, "print the response as JSON")
	cmd.Flags().StringVar(&o.server, "server", defaultServer, "base URL of an instance")
	return cmd
}

func newVersionCmd(o *options) *cobra.Command {
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

// buildVersion returns the module version and the VCS revision of the build, as
// far as the build information contains them.
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

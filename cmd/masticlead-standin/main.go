// Command masticlead-standin emulates the platform for tests and experiments. It
// serves a table service, an object store, a directory, and targets.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/emulator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	cell := &emulator.Cell{}
	var cellFile string
	c := &cobra.Command{
		Use:   "masticlead-standin",
		Short: "Emulate the platform and its targets",
		Long: `Emulate the platform and its targets.

The cell file is a JSON object with the lists "instances" and "targets" in the
format of the directory. To inject faults, POST a JSON object to /faults on a
target, or to /table/faults, /objects/faults or /directory/faults on the
platform. Its fields are down, delayMs, loseAnswers, failAll, leaving and lagMs;
a fault whose field is missing is cleared.`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := os.ReadFile(cellFile)
			if err != nil {
				return fmt.Errorf("read cell file: %w", err)
			}
			if err := json.Unmarshal(data, &cell.Listing); err != nil {
				return fmt.Errorf("decode cell file %s: %w", cellFile, err)
			}
			return cell.Run(cmd.Context())
		},
	}
	flags := c.Flags()
	flags.StringVar(&cellFile, "cell", "", "JSON file with the instances and targets of the cell")
	flags.StringVar(&cell.PlatformAddress, "platform", "", "listen address of the platform; if empty, only targets are served")
	flags.StringVar((*string)(&cell.DataCentre), "data-centre", "", "serve only the targets in this data centre")
	flags.BoolVar(&cell.NoTargets, "no-targets", false, "serve only the platform, without targets")
	_ = c.MarkFlagRequired("cell")
	return c
}

// Command masticlead-standin serves small stand-ins of the platform for tests
// and trials: a table service, an object store, a directory, and targets.
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
	var file string
	c := &cobra.Command{
		Use:   "masticlead-standin",
		Short: "Serve stand-ins of the platform on loopback",
		Long: `Serve stand-ins of the platform on loopback.

The cell file is JSON with the lists "instances" and "targets", as the directory
serves them. Faults are switched on by a POST of a JSON object to the path
/faults of a target, or /table/faults, /objects/faults or /directory/faults of
the platform. The fields are down, delayMs, loseAnswers, failAll, leaving, lagMs.`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("read cell file: %w", err)
			}
			if err := json.Unmarshal(b, &cell.Listing); err != nil {
				return fmt.Errorf("decode cell file %s: %w", file, err)
			}
			return cell.Run(cmd.Context())
		},
	}
	f := c.Flags()
	f.StringVar(&file, "cell", "", "JSON file that lists the instances and targets")
	f.StringVar(&cell.PlatformAddress, "platform", "", "address of the platform; empty for no platform")
	f.StringVar((*string)(&cell.DataCentre), "data-centre", "", "serve only the targets of this data centre")
	f.BoolVar(&cell.NoTargets, "no-targets", false, "serve only the platform")
	_ = c.MarkFlagRequired("cell")
	return c
}

package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/gateway"
	"github.com/masticlead/masticlead/instance"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/platform"
)

const (
	// jobParts keeps the rows of jobs below the rate of one part of the store.
	jobParts = 8
	// memoryShare is the part of the machine's memory above which garbage is
	// collected more often.
	memoryShare = 0.6
	// collectPercent trades memory, of which there is plenty, for processor
	// time.
	collectPercent = 400
)

// newPlatform returns the command that runs an instance on the platform.
func newPlatform() *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run an instance on the users' platform, with the settings file that its environment names",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var l slog.Level
			if err := l.UnmarshalText([]byte(level)); err != nil {
				return fmt.Errorf("log level %q: %w", level, err)
			}
			s, err := platform.ReadSettings()
			if err != nil {
				return err
			}
			debug.SetGCPercent(collectPercent)
			debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
			log := slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: l}))
			store := platform.NewStore(s.StoreAddr)
			parts := keeper.Parts(1)
			if s.AcrossParts {
				parts = jobParts
			}
			k := &keeper.Keeper{Store: store, Parts: parts}
			g := &gateway.Gateway{Keeper: k, Log: log}
			in := &instance.Instance{
				Name: s.Node, Zone: s.Zone, FrontAddr: s.FrontAddr, ReadyAddr: s.ReadyAddr, LinkAddr: s.LinkAddr,
				Bounds: instance.Bounds{
					Grace: s.Grace, StopTimeout: s.StopTimeout, GangTimeout: s.GangTimeout, Restore: s.Restore,
					MaxLease: s.MaxLease, StateKept: s.StateKept, RemoteFactor: s.RemoteFactor,
				},
				Keeper: k, Directory: &platform.Directory{Store: store}, Store: store,
				Caller: platform.NewCaller(s.AdviceAddr), Gateway: g, Front: &platform.Front{Gateway: g}, Log: log,
			}
			return in.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "lowest level of log lines: debug, info, warn or error")
	return cmd
}

package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticlead/masticlead/gateway"
	"github.com/masticlead/masticlead/instance"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/meter"
	"github.com/masticlead/masticlead/platform"
	"github.com/masticlead/masticlead/recorder"
)

const (
	// jobParts is the number of parts over which the rows of jobs are spread. A
	// part makes one transaction after another, which takes 150 ms each while
	// the store is slow; a crest brings 200 jobs a second.
	jobParts = 64
	// memoryShare is the part of the machine's memory above which garbage is
	// collected more often.
	memoryShare = 0.6
	// collectPercent trades memory, of which there is plenty, for processor
	// time.
	collectPercent = 400
)

// settingsPeriod is the time between two looks at the settings file, which may
// change without a signal.
const settingsPeriod = 2 * time.Second

func bounds(s *platform.Settings) instance.Bounds {
	return instance.Bounds{
		GracePeriod: s.ShutdownGrace, StopTimeout: s.StopTimeout, RestoreTime: s.RestoreTime,
		MaxLease: s.MaxLease, StateRetention: s.StateRetention,
	}
}

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
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			path := platform.SettingsPath()
			s, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			debug.SetGCPercent(collectPercent)
			debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
			rec := recorder.New(cmd.OutOrStdout())
			defer rec.Close()
			log := rec.Logger(l)
			m := meter.New()
			store := platform.NewStore(s.StoreAddr)
			store.Meter = m
			parts := keeper.Partitions(1)
			if s.CrossPartTx {
				parts = jobParts
			}
			k := &keeper.Keeper{Store: store, Partitions: parts}
			caller := platform.NewTargetClient(s.AdviceAddr)
			g := &gateway.Gateway{Keeper: k, Log: log, StoreFailingFor: store.Failing, StoreUnreachableFor: store.UnavailableFor, Meter: m}
			in := &instance.Instance{
				Name: s.Node, Zone: s.Zone, FrontAddr: s.FrontAddr, ReadyAddr: s.ReadyAddr, LinkAddr: s.LinkAddr, Cores: s.Cores,
				Keeper: k, Directory: &platform.Directory{Store: store}, Store: store,
				Caller: caller, Gateway: g, Front: &platform.Handler{Gateway: g}, Log: log,
				Meter: m, MetricsAddr: s.MetricsAddr,
			}
			in.SetBounds(bounds(s))
			go platform.Watch(cmd.Context(), path, hup, settingsPeriod, func(s *platform.Settings) {
				log.Info("settings reloaded", "store", s.StoreAddr, "advice", s.AdviceAddr)
				store.SetAddr(s.StoreAddr)
				caller.SetAdviceAddr(s.AdviceAddr)
				in.SetBounds(bounds(s))
			}, func(err error) { log.Warn("settings not reloaded", "error", err) })
			return in.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "lowest level of log lines: debug, info, warn or error")
	return cmd
}

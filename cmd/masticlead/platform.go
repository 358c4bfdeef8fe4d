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
	"github.com/masticlead/masticlead/reserver"
)

const (
	// jobPartitions is the number of partitions that the job rows are spread
	// over. A partition commits its transactions one at a time, at 150 ms each
	// while the store is slow; the peak load is 200 jobs per second.
	jobPartitions = 64
	// memoryLimitRatio is the fraction of the machine's memory above which the
	// garbage collector runs more often.
	memoryLimitRatio = 0.6
	// gcPercent trades memory, which is plentiful, for less CPU time spent on
	// garbage collection.
	gcPercent = 400
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes, because it may change without a signal.
const settingsPollInterval = 2 * time.Second

func instanceBounds(s *platform.Settings) instance.Bounds {
	return instance.Bounds{
		ShutdownGracePeriod: s.ShutdownGracePeriod, StopTimeout: s.StopTimeout, RestoreTime: s.RestoreTime,
		MaxLease: s.MaxLease, StateRetention: s.StateRetention,
		RevokeAfter: s.RevokeAfter, ApplyWithin: s.ApplyWithin, QuotaExcess: s.QuotaExcess, RemoteFactor: s.RemoteFactor,
	}
}

// configReads returns the reads of the configuration over the separate paths to the store.
func configReads(s *platform.Store) []instance.ConfigRead {
	return []instance.ConfigRead{
		{Via: "direct", Read: s.ReadConfigDirect},
		{Via: "relay", Read: s.ReadConfigRelayed},
		{Via: "whole", Read: s.ReadConfigDirect, Whole: true},
		{Via: "peer", Read: s.ReadConfigFromPeer},
	}
}

// newPlatformCmd returns the command that runs an instance on the users' platform.
func newPlatformCmd() *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run an instance on the users' platform, configured by the file that $MASTICLEAD_NODE_FILE names",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var l slog.Level
			if err := l.UnmarshalText([]byte(level)); err != nil {
				return fmt.Errorf("parse log level %q: %w", level, err)
			}
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			path := platform.SettingsPath()
			s, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMB) * (1 << 20)))
			rec := recorder.New(cmd.OutOrStdout())
			defer rec.Close()
			log := rec.Logger(l)
			m := meter.New()
			store := platform.NewStore(s.StoreAddr)
			store.Meter = m
			partitions := keeper.Partitions(1)
			if s.CrossPartitionTx {
				partitions = jobPartitions
			}
			k := &keeper.Keeper{Store: store, Partitions: partitions, Urgent: store.Urgent(), MaxRowBytes: s.MaxRowBytes}
			targetClient := platform.NewTargetClient(s.AdviceAddr)
			g := &gateway.Gateway{Keeper: k, Log: log, StoreFailingFor: store.FailingFor, StoreAnsweringFor: store.AnsweringFor, StoreUnreachableFor: store.UnreachableFor, Meter: m}
			refusals := &reserver.Refusals{Log: log, Meter: m}
			front := &platform.Handler{Gateway: g, Budget: reserver.Budget{Bytes: s.MaxBodyMemory()}, Refusals: refusals}
			clientConns, linkConns := s.MaxConns()
			inst := &instance.Instance{
				Name: s.InstanceName, Zone: s.Zone, FrontAddr: s.FrontAddr, ReadyAddr: s.ReadyAddr, LinkAddr: s.LinkAddr, Cores: s.Cores, CheckpointMemory: s.MaxCheckpointMemory(),
				Keeper: k, Directory: &platform.Directory{Store: store, Log: log, Meter: m}, Store: store, ConfigReads: configReads(store),
				TargetClient: targetClient, Gateway: g, Front: front, Log: log,
				Meter: m, MetricsAddr: s.MetricsAddr,
				MaxClientConns: clientConns, MaxLinkConns: linkConns, DisplaceStalled: front.Budget.DisplaceStalled, Refusals: refusals,
			}
			inst.SetBounds(instanceBounds(s))
			go platform.Watch(cmd.Context(), path, hup, settingsPollInterval, func(s *platform.Settings) {
				log.Info("settings reloaded", "store", s.StoreAddr, "advice", s.AdviceAddr, "revokeAfter", s.RevokeAfter)
				store.SetAddr(s.StoreAddr)
				targetClient.SetAdviceAddr(s.AdviceAddr)
				inst.SetBounds(instanceBounds(s))
			}, func(err error) { log.Warn("settings not reloaded", "error", err) })
			return inst.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "minimum log level: debug, info, warn or error")
	return cmd
}

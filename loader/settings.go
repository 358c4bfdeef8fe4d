// Package loader loads and validates the settings file of an instance, which is in
// TOML. It rejects unknown keys and values out of range, and reports all errors of a
// file together with their positions.
package loader

import (
	"log/slog"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Settings is the configuration of an instance. It does not include the rules.
type Settings struct {
	Instance    Instance
	Listen      Addresses
	Advertise   Addresses
	Platform    Platform
	DataCentres []descriptor.DataCentreID
	Timing      Timing
	Limits      Limits
	Log         Log
}

// Instance identifies the instance and its location.
type Instance struct {
	Name       descriptor.InstanceID
	DataCentre descriptor.DataCentreID
	Region     string
}

// Addresses holds IP:port addresses.
type Addresses struct {
	// HTTP is the address for callers and operators.
	HTTP string
	// Peer is the address for other instances.
	Peer string
}

// Platform holds the base URLs of the platform services.
type Platform struct {
	Table     string
	Objects   string
	Directory string
}

// Timing holds intervals, lease durations and timeouts.
type Timing struct {
	Lease        time.Duration
	Renewal      time.Duration
	Promise      time.Duration
	MaxExtension time.Duration
	Heartbeat    time.Duration
	Suspect      time.Duration
	Remove       time.Duration
	TaskLease    time.Duration
	Drain        time.Duration
	Shutdown     time.Duration
	Read         time.Duration
	Idle         time.Duration
	MaxWait      time.Duration
}

// Limits holds limits on sizes, counts and rates.
type Limits struct {
	QueuedRequests       int
	QueuedBytes          descriptor.Bytes
	CallerQueuedRequests int
	CallerQueuedBytes    descriptor.Bytes
	BodyBytes            descriptor.Bytes
	HeaderBytes          descriptor.Bytes
	RequestsInProgress   int
	Connections          int
	// StoreWritesPerSecond and StoreReadsPerSecond are shared by all instances.
	StoreWritesPerSecond int
	StoreReadsPerSecond  int
}

// Log holds the logging settings.
type Log struct {
	Level slog.Level
	// Format is "text" or "json".
	Format string
}

// Default returns the default settings. Settings without a default have their zero
// value.
func Default() Settings {
	return Settings{
		Listen: Addresses{HTTP: "127.0.0.1:7180", Peer: "127.0.0.1:7181"},
		Timing: Timing{
			Lease:        6 * time.Second,
			Renewal:      2 * time.Second,
			Promise:      3 * time.Second,
			MaxExtension: time.Hour,
			Heartbeat:    400 * time.Millisecond,
			Suspect:      1200 * time.Millisecond,
			Remove:       2 * time.Second,
			TaskLease:    18 * time.Second,
			Drain:        time.Second,
			Shutdown:     20 * time.Second,
			Read:         5 * time.Second,
			Idle:         time.Minute,
			MaxWait:      time.Minute,
		},
		Limits: Limits{
			QueuedRequests:       20_000,
			QueuedBytes:          64 << 20,
			CallerQueuedRequests: 2000,
			CallerQueuedBytes:    8 << 20,
			BodyBytes:            256 << 10,
			HeaderBytes:          16 << 10,
			RequestsInProgress:   4096,
			Connections:          8192,
			StoreWritesPerSecond: 300,
			StoreReadsPerSecond:  1500,
		},
		Log: Log{Level: slog.LevelInfo, Format: "text"},
	}
}

// Package loader reads the TOML settings of an instance. It accepts only known
// keys, checks every range, and reports all faults of a file together with
// their positions.
package loader

import (
	"log/slog"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Settings is everything that an instance is told from outside. Rules are not
// part of it.
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

// Instance says which instance this is.
type Instance struct {
	Name       descriptor.InstanceID
	DataCentre descriptor.DataCentreID
	Region     string
}

// Addresses holds a host:port for callers and operators, and one for peers.
type Addresses struct {
	HTTP string
	// Peer is the address for other instances.
	Peer string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table     string
	Objects   string
	Directory string
}

// Timing holds all periods and time limits.
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

// Limits holds all bounds on sizes, counts and rates.
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

// Log holds the settings of the log.
type Log struct {
	Level slog.Level
	// Format is "text" or "json".
	Format string
}

// Default returns the settings of keys that a file leaves out. Keys without a
// default are empty.
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

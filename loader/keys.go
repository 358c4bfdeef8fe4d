package loader

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// key describes one key of the file.
type key struct {
	// path is the section and the name, joined by a dot.
	path     string
	required bool
	// set stores a decoded TOML value or says what is wrong with it.
	set func(s *Settings, value any) error
	// show returns the value as the file would hold it.
	show func(s *Settings) string
}

// keys lists all keys in the order of the documentation.
var keys = []key{
	required(text("instance.name", checkName, func(s *Settings) *descriptor.InstanceID { return &s.Instance.Name })),
	required(text("instance.dataCentre", checkName, func(s *Settings) *descriptor.DataCentreID { return &s.Instance.DataCentre })),
	text("instance.region", checkName, func(s *Settings) *string { return &s.Instance.Region }),

	text("listen.http", checkListen, func(s *Settings) *string { return &s.Listen.HTTP }),
	text("listen.peer", checkListen, func(s *Settings) *string { return &s.Listen.Peer }),
	text("advertise.http", checkAdvertise, func(s *Settings) *string { return &s.Advertise.HTTP }),
	text("advertise.peer", checkAdvertise, func(s *Settings) *string { return &s.Advertise.Peer }),

	required(text("platform.table", checkURL, func(s *Settings) *string { return &s.Platform.Table })),
	required(text("platform.objects", checkURL, func(s *Settings) *string { return &s.Platform.Objects })),
	required(text("platform.directory", checkURL, func(s *Settings) *string { return &s.Platform.Directory })),

	required(names("dataCentres.names", func(s *Settings) *[]descriptor.DataCentreID { return &s.DataCentres })),

	milliseconds("timing.leaseMs", 500, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Lease }),
	milliseconds("timing.renewalMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Renewal }),
	milliseconds("timing.promiseMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Promise }),
	milliseconds("timing.maxExtensionMs", 1000, dayMs, func(s *Settings) *time.Duration { return &s.Timing.MaxExtension }),
	milliseconds("timing.heartbeatMs", 10, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Heartbeat }),
	milliseconds("timing.suspectMs", 50, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Suspect }),
	milliseconds("timing.removeMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Remove }),
	milliseconds("timing.taskLeaseMs", 1000, hourMs, func(s *Settings) *time.Duration { return &s.Timing.TaskLease }),
	milliseconds("timing.drainMs", 0, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Drain }),
	milliseconds("timing.shutdownMs", 100, hourMs, func(s *Settings) *time.Duration { return &s.Timing.Shutdown }),
	milliseconds("timing.readMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Read }),
	milliseconds("timing.idleMs", 100, hourMs, func(s *Settings) *time.Duration { return &s.Timing.Idle }),
	milliseconds("timing.maxWaitMs", 100, hourMs, func(s *Settings) *time.Duration { return &s.Timing.MaxWait }),

	integer("limits.queuedRequests", 1, 10_000_000, func(s *Settings) *int { return &s.Limits.QueuedRequests }),
	integer("limits.queuedBytes", 1<<20, 64<<30, func(s *Settings) *descriptor.Bytes { return &s.Limits.QueuedBytes }),
	integer("limits.callerQueuedRequests", 1, 10_000_000, func(s *Settings) *int { return &s.Limits.CallerQueuedRequests }),
	integer("limits.callerQueuedBytes", 64<<10, 64<<30, func(s *Settings) *descriptor.Bytes { return &s.Limits.CallerQueuedBytes }),
	integer("limits.bodyBytes", 1<<10, 512<<10, func(s *Settings) *descriptor.Bytes { return &s.Limits.BodyBytes }),
	integer("limits.headerBytes", 1<<10, 1<<20, func(s *Settings) *descriptor.Bytes { return &s.Limits.HeaderBytes }),
	integer("limits.requestsInProgress", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.RequestsInProgress }),
	integer("limits.connections", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.Connections }),
	integer("limits.storeWritesPerSecond", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.StoreWritesPerSecond }),
	integer("limits.storeReadsPerSecond", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.StoreReadsPerSecond }),

	level("log.level", func(s *Settings) *slog.Level { return &s.Log.Level }),
	text("log.format", checkFormat, func(s *Settings) *string { return &s.Log.Format }),
}

// Bounds of periods, in milliseconds.
const (
	minuteMs = 60_000
	hourMs   = 60 * minuteMs
	dayMs    = 24 * hourMs
)

func required(k key) key {
	k.required = true
	return k
}

// text returns a key that holds a string.
func text[S ~string](path string, check func(string) error, at func(*Settings) *S) key {
	set := func(s *Settings, value any) error {
		v, ok := value.(string)
		if !ok {
			return fmt.Errorf("must be a string, not %s", typeName(value))
		}
		if err := check(v); err != nil {
			return err
		}
		*at(s) = S(v)
		return nil
	}
	return key{path: path, set: set, show: func(s *Settings) string { return string(*at(s)) }}
}

// names returns a key that holds a list of different names.
func names[S ~string](path string, at func(*Settings) *[]S) key {
	set := func(s *Settings, value any) error {
		list, ok := value.([]any)
		if !ok {
			return fmt.Errorf("must be a list of strings, not %s", typeName(value))
		}
		if len(list) == 0 {
			return errors.New("must name at least one")
		}
		seen := make(map[string]bool, len(list))
		out := make([]S, 0, len(list))
		for _, element := range list {
			name, ok := element.(string)
			if !ok {
				return fmt.Errorf("must be a list of strings, but holds %s", typeName(element))
			}
			if err := checkName(name); err != nil {
				return err
			}
			if seen[name] {
				return fmt.Errorf("names %q twice", name)
			}
			seen[name] = true
			out = append(out, S(name))
		}
		*at(s) = out
		return nil
	}
	show := func(s *Settings) string {
		parts := make([]string, 0, len(*at(s)))
		for _, name := range *at(s) {
			parts = append(parts, string(name))
		}
		return strings.Join(parts, ",")
	}
	return key{path: path, set: set, show: show}
}

// integer returns a key that holds a whole number in [low, high].
func integer[N ~int | ~int64](path string, low, high int64, at func(*Settings) *N) key {
	set := func(s *Settings, value any) error {
		n, err := wholeNumber(value, low, high)
		if err != nil {
			return err
		}
		*at(s) = N(n)
		return nil
	}
	return key{path: path, set: set, show: func(s *Settings) string { return strconv.FormatInt(int64(*at(s)), 10) }}
}

// milliseconds returns a key that holds a period in [low, high] milliseconds.
func milliseconds(path string, low, high int64, at func(*Settings) *time.Duration) key {
	set := func(s *Settings, value any) error {
		n, err := wholeNumber(value, low, high)
		if err != nil {
			return err
		}
		*at(s) = time.Duration(n) * time.Millisecond
		return nil
	}
	return key{path: path, set: set, show: func(s *Settings) string { return strconv.FormatInt(at(s).Milliseconds(), 10) }}
}

// level returns a key that holds a log level.
func level(path string, at func(*Settings) *slog.Level) key {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	set := func(s *Settings, value any) error {
		name, _ := value.(string)
		l, ok := levels[name]
		if !ok {
			return errors.New(`must be "debug", "info", "warn" or "error"`)
		}
		*at(s) = l
		return nil
	}
	return key{path: path, set: set, show: func(s *Settings) string { return strings.ToLower(at(s).String()) }}
}

func wholeNumber(value any, low, high int64) (int64, error) {
	n, ok := value.(int64)
	if !ok {
		return 0, fmt.Errorf("must be a whole number, not %s", typeName(value))
	}
	if n < low || n > high {
		return 0, fmt.Errorf("%d is out of range; it must be from %d to %d", n, low, high)
	}
	return n, nil
}

// typeName returns the TOML name of a decoded value's type.
func typeName(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case int64:
		return "a whole number"
	case float64:
		return "a fraction"
	case bool:
		return "a boolean"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

// maxNameBytes bounds names, which are part of row keys and messages.
const maxNameBytes = 64

func checkName(s string) error {
	if s == "" {
		return errors.New("must not be empty")
	}
	if len(s) > maxNameBytes {
		return fmt.Errorf("has %d bytes; at most %d are allowed", len(s), maxNameBytes)
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("._-", r) {
			return fmt.Errorf("%q holds %q; a name consists of letters, digits, '.', '_' and '-'", s, r)
		}
	}
	return nil
}

// checkListen accepts an IP address and a port. Port 0 selects a free port.
func checkListen(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%q is not IP:PORT", s)
	}
	return nil
}

// checkAdvertise accepts an address that others can connect to.
func checkAdvertise(s string) error {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not IP:PORT", s)
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return fmt.Errorf("%q can't be connected to; give the address and port that others use", s)
	}
	return nil
}

func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%q is not an http or https URL", s)
	}
	if u.RawQuery != "" || u.Fragment != "" {
		return fmt.Errorf("%q must not hold a query or a fragment", s)
	}
	return nil
}

func checkFormat(s string) error {
	if s != "text" && s != "json" {
		return errors.New(`must be "text" or "json"`)
	}
	return nil
}

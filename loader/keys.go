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

// key describes a key of the settings file.
type key struct {
	// path is the section and the name of the key, joined by a dot.
	path     string
	required bool
	// set validates a decoded TOML value and stores it in s.
	set func(s *Settings, value any) error
	// format returns the value in s as text: strings without quotes, lists with
	// commas and durations in milliseconds.
	format func(s *Settings) string
}

// keys lists all supported keys in the order of docs/OPERATIONS.md.
var keys = []key{
	required(stringKey("instance.name", checkName, func(s *Settings) *descriptor.InstanceID { return &s.Instance.Name })),
	required(stringKey("instance.dataCentre", checkName, func(s *Settings) *descriptor.DataCentreID { return &s.Instance.DataCentre })),
	stringKey("instance.region", checkName, func(s *Settings) *string { return &s.Instance.Region }),

	stringKey("listen.http", checkListenAddress, func(s *Settings) *string { return &s.Listen.HTTP }),
	stringKey("listen.peer", checkListenAddress, func(s *Settings) *string { return &s.Listen.Peer }),
	stringKey("advertise.http", checkAdvertiseAddress, func(s *Settings) *string { return &s.Advertise.HTTP }),
	stringKey("advertise.peer", checkAdvertiseAddress, func(s *Settings) *string { return &s.Advertise.Peer }),

	required(stringKey("platform.table", checkURL, func(s *Settings) *string { return &s.Platform.Table })),
	required(stringKey("platform.objects", checkURL, func(s *Settings) *string { return &s.Platform.Objects })),
	required(stringKey("platform.directory", checkURL, func(s *Settings) *string { return &s.Platform.Directory })),

	required(nameListKey("dataCentres.names", func(s *Settings) *[]descriptor.DataCentreID { return &s.DataCentres })),

	millisecondsKey("timing.leaseMs", 500, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Lease }),
	millisecondsKey("timing.renewalMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Renewal }),
	millisecondsKey("timing.promiseMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Promise }),
	millisecondsKey("timing.maxExtensionMs", 1000, dayMs, func(s *Settings) *time.Duration { return &s.Timing.MaxExtension }),
	millisecondsKey("timing.heartbeatMs", 10, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Heartbeat }),
	millisecondsKey("timing.suspectMs", 50, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Suspect }),
	millisecondsKey("timing.removeMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Remove }),
	millisecondsKey("timing.taskLeaseMs", 1000, hourMs, func(s *Settings) *time.Duration { return &s.Timing.TaskLease }),
	millisecondsKey("timing.drainMs", 0, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Drain }),
	millisecondsKey("timing.shutdownMs", 100, hourMs, func(s *Settings) *time.Duration { return &s.Timing.Shutdown }),
	millisecondsKey("timing.readMs", 100, minuteMs, func(s *Settings) *time.Duration { return &s.Timing.Read }),
	millisecondsKey("timing.idleMs", 100, hourMs, func(s *Settings) *time.Duration { return &s.Timing.Idle }),
	millisecondsKey("timing.maxWaitMs", 100, hourMs, func(s *Settings) *time.Duration { return &s.Timing.MaxWait }),

	integerKey("limits.queuedRequests", 1, 10_000_000, func(s *Settings) *int { return &s.Limits.QueuedRequests }),
	integerKey("limits.queuedBytes", 1<<20, 64<<30, func(s *Settings) *descriptor.Bytes { return &s.Limits.QueuedBytes }),
	integerKey("limits.callerQueuedRequests", 1, 10_000_000, func(s *Settings) *int { return &s.Limits.CallerQueuedRequests }),
	integerKey("limits.callerQueuedBytes", 64<<10, 64<<30, func(s *Settings) *descriptor.Bytes { return &s.Limits.CallerQueuedBytes }),
	integerKey("limits.bodyBytes", 1<<10, 512<<10, func(s *Settings) *descriptor.Bytes { return &s.Limits.BodyBytes }),
	integerKey("limits.headerBytes", 1<<10, 1<<20, func(s *Settings) *descriptor.Bytes { return &s.Limits.HeaderBytes }),
	integerKey("limits.requestsInProgress", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.RequestsInProgress }),
	integerKey("limits.connections", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.Connections }),
	integerKey("limits.storeWritesPerSecond", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.StoreWritesPerSecond }),
	integerKey("limits.storeReadsPerSecond", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.StoreReadsPerSecond }),

	logLevelKey("log.level", func(s *Settings) *slog.Level { return &s.Log.Level }),
	stringKey("log.format", checkLogFormat, func(s *Settings) *string { return &s.Log.Format }),
}

// Upper bounds of durations, in milliseconds.
const (
	minuteMs = 60_000
	hourMs   = 60 * minuteMs
	dayMs    = 24 * hourMs
)

func required(k key) key {
	k.required = true
	return k
}

// stringKey returns a key with a string value that check accepts.
func stringKey[S ~string](path string, check func(string) error, field func(*Settings) *S) key {
	set := func(s *Settings, value any) error {
		str, ok := value.(string)
		if !ok {
			return fmt.Errorf("must be a string, not %s", tomlTypeName(value))
		}
		if err := check(str); err != nil {
			return err
		}
		*field(s) = S(str)
		return nil
	}
	return key{path: path, set: set, format: func(s *Settings) string { return string(*field(s)) }}
}

// nameListKey returns a key whose value is a non-empty list of distinct names.
func nameListKey[S ~string](path string, field func(*Settings) *[]S) key {
	set := func(s *Settings, value any) error {
		list, ok := value.([]any)
		if !ok {
			return fmt.Errorf("must be a list of strings, not %s", tomlTypeName(value))
		}
		if len(list) == 0 {
			return errors.New("must name at least one")
		}
		seen := make(map[string]bool, len(list))
		result := make([]S, 0, len(list))
		for _, item := range list {
			name, ok := item.(string)
			if !ok {
				return fmt.Errorf("must be a list of strings, but holds %s", tomlTypeName(item))
			}
			if err := checkName(name); err != nil {
				return err
			}
			if seen[name] {
				return fmt.Errorf("names %q twice", name)
			}
			seen[name] = true
			result = append(result, S(name))
		}
		*field(s) = result
		return nil
	}
	format := func(s *Settings) string {
		parts := make([]string, 0, len(*field(s)))
		for _, name := range *field(s) {
			parts = append(parts, string(name))
		}
		return strings.Join(parts, ",")
	}
	return key{path: path, set: set, format: format}
}

// integerKey returns a key with an integer value in [minValue, maxValue].
func integerKey[N ~int | ~int64](path string, minValue, maxValue int64, field func(*Settings) *N) key {
	set := func(s *Settings, value any) error {
		n, err := integerInRange(value, minValue, maxValue)
		if err != nil {
			return err
		}
		*field(s) = N(n)
		return nil
	}
	return key{path: path, set: set, format: func(s *Settings) string { return strconv.FormatInt(int64(*field(s)), 10) }}
}

// millisecondsKey returns a key whose value is a duration, given as an integer of
// [minValue, maxValue] milliseconds.
func millisecondsKey(path string, minValue, maxValue int64, field func(*Settings) *time.Duration) key {
	set := func(s *Settings, value any) error {
		n, err := integerInRange(value, minValue, maxValue)
		if err != nil {
			return err
		}
		*field(s) = time.Duration(n) * time.Millisecond
		return nil
	}
	return key{path: path, set: set, format: func(s *Settings) string { return strconv.FormatInt(field(s).Milliseconds(), 10) }}
}

// logLevelKey returns a key whose value is the name of a log level.
func logLevelKey(path string, field func(*Settings) *slog.Level) key {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	set := func(s *Settings, value any) error {
		name, _ := value.(string)
		logLevel, ok := levels[name]
		if !ok {
			return errors.New(`must be "debug", "info", "warn" or "error"`)
		}
		*field(s) = logLevel
		return nil
	}
	return key{path: path, set: set, format: func(s *Settings) string { return strings.ToLower(field(s).String()) }}
}

func integerInRange(value any, minValue, maxValue int64) (int64, error) {
	n, ok := value.(int64)
	if !ok {
		return 0, fmt.Errorf("must be a whole number, not %s", tomlTypeName(value))
	}
	if n < minValue || n > maxValue {
		return 0, fmt.Errorf("%d is out of range; it must be from %d to %d", n, minValue, maxValue)
	}
	return n, nil
}

// tomlTypeName returns the type of a decoded TOML value for use in findings.
func tomlTypeName(value any) string {
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

// maxNameBytes limits the length of names, which are part of row keys and messages.
const maxNameBytes = 64

func checkName(s string) error {
	if s == "" {
		return errors.New("must not be empty")
	}
	if len(s) > maxNameBytes {
		return fmt.Errorf("has %d bytes; at most %d are allowed", len(s), maxNameBytes)
	}
	for _, r := range s {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune("._-", r) {
			return fmt.Errorf("%q holds %q; a name consists of letters, digits, '.', '_' and '-'", s, r)
		}
	}
	return nil
}

// checkListenAddress accepts an IP address with a port. Port 0 selects a free port.
func checkListenAddress(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%q is not IP:PORT", s)
	}
	return nil
}

// checkAdvertiseAddress accepts an IP address with a port to which others can connect,
// which excludes the unspecified address and port 0.
func checkAdvertiseAddress(s string) error {
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

func checkLogFormat(s string) error {
	if s != "text" && s != "json" {
		return errors.New(`must be "text" or "json"`)
	}
	return nil
}

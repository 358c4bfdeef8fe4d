package distributor

import (
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// FuzzPush guards against a pushed message that makes an instance panic, or that
// is installed although its body does not match its hash.
func FuzzPush(f *testing.F) {
	valid, err := compress([]byte("one"))
	require.NoError(f, err)
	f.Add(valid, uint64(1), 0, 0, false)
	f.Add(valid, uint64(2), 1, 2, true)
	f.Add(valid, uint64(2), -1, 1<<62, true)
	f.Add([]byte{0x1f, 0x8b}, uint64(9), 1<<62, 1<<62, true)
	f.Fuzz(func(t *testing.T, packed []byte, version uint64, prefix, suffix int, asDelta bool) {
		d := New(Config{
			Log: slog.New(slog.DiscardHandler),
			Parse: func(v descriptor.RulesVersion, _ []byte) (*descriptor.Rules, error) {
				return &descriptor.Rules{Version: v}, nil
			},
		})
		base := []byte("abcdef")
		s, err := newRuleset(VersionInfo{Version: 1, Hash: hashOf(base)}, base)
		require.NoError(t, err)
		_, err = d.install(s)
		require.NoError(t, err)
		msg := rulesMessage{VersionInfo: VersionInfo{Version: descriptor.RulesVersion(version), Hash: hashOf([]byte("one"))}, Packed: packed}
		if asDelta {
			msg.Delta = &delta{Base: 1, Prefix: prefix, Suffix: suffix}
		}
		_, _ = d.onPush(context.Background(), "x", msg)
		v, body, _ := d.Current()
		if v > 1 {
			require.Equal(t, "one", string(body))
		} else {
			require.Equal(t, base, body)
		}
	})
}

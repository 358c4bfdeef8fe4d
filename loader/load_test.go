package loader

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/parser"
)

const minimal = `[instance]
name = "gyor-1"
dataCentre = "gyor"
[platform]
table = "http://127.0.0.1:7001"
objects = "http://127.0.0.1:7002"
directory = "http://127.0.0.1:7003"
[dataCentres]
names = ["gyor", "sopron"]
`

// TestLoadFillsDefaults guards against a key that is read into the wrong
// setting, and against a default that is lost.
func TestLoadFillsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	src := minimal + "[timing]\nleaseMs = 9000\nrenewalMs = 3000\n[limits]\nbodyBytes = 4096\n"
	require.NoError(t, os.WriteFile(path, []byte(src), 0o600))
	got, err := Load(path)
	require.NoError(t, err)
	want := Default()
	want.Instance = Instance{Name: "gyor-1", DataCentre: "gyor"}
	want.Platform = Platform{Table: "http://127.0.0.1:7001", Objects: "http://127.0.0.1:7002", Directory: "http://127.0.0.1:7003"}
	want.DataCentres = []descriptor.DataCentreID{"gyor", "sopron"}
	want.Timing.Lease, want.Timing.Renewal = 9*time.Second, 3*time.Second
	want.Limits.BodyBytes = 4096
	require.Equal(t, &want, got)
	_, err = Load(path + ".missing")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// TestEveryKeyReachesItsOwnSetting guards against two keys that share a setting
// and against a default outside its own range.
func TestEveryKeyReachesItsOwnSetting(t *testing.T) {
	base, err := Parse("s", []byte(minimal))
	require.NoError(t, err)
	values := map[string]any{
		"instance.region": "r", "instance.name": "other", "instance.dataCentre": "other", "log.level": "warn", "log.format": "json",
		"dataCentres.names": []any{"x"},
	}
	for _, k := range keys {
		changed := *base
		value, ok := values[k.path]
		switch {
		case ok:
		case strings.HasPrefix(k.path, "platform."):
			value = "https://127.0.0.1:1"
		case strings.HasPrefix(k.path, "listen."), strings.HasPrefix(k.path, "advertise."):
			value = "127.0.0.9:9"
		default:
			var n int64
			_, err := fmt.Sscan(k.show(base), &n)
			require.NoError(t, err, k.path)
			require.NoError(t, k.set(&changed, n), "default of %s", k.path)
			value = n + 1
		}
		require.NoError(t, k.set(&changed, value), k.path)
		for _, other := range keys {
			if other.path != k.path {
				require.Equal(t, other.show(base), other.show(&changed), "%s changed %s", k.path, other.path)
			}
		}
		require.NotEqual(t, k.show(base), k.show(&changed), k.path)
	}
}

// TestLoadFindings guards against a faulty setting that is accepted, or that is
// reported at the wrong place.
func TestLoadFindings(t *testing.T) {
	cases := map[string]struct{ src, want string }{
		"syntax":               {"a = \n", "1:5: "},
		"letter outside ASCII": {"é = 1\n", "1:1: "},
		"key twice":            {"[log]\nlevel = \"info\"\nlevel = \"warn\"\n", "3:1: key level is already defined"},
		"unknown section":      {minimal + "[tming]\n", "10:2: tming: unknown section"},
		"unknown key":          {minimal + "[log]\nfromat = \"json\"\n", "11:1: log.fromat: unknown key; the section takes level, format"},
		"section as value":     {"log = 1\n" + minimal, "1:1: log: must be a table, not a whole number"},
		"missing":              {strings.Replace(minimal, "name =", "region =", 1), "1:2: instance.name: is missing and has no default"},
		"string for number":    {minimal + "[timing]\n  leaseMs = \"6s\"\n", "11:3: timing.leaseMs: must be a whole number, not a string"},
		"fraction":             {minimal + "[timing]\nleaseMs = 6000.5\n", "11:1: timing.leaseMs: must be a whole number, not a fraction"},
		"number for string":    {minimal + "[log]\nformat = 1\n", "11:1: log.format: must be a string, not a whole number"},
		"out of range":         {minimal + "[timing]\nleaseMs = 6\n", "11:1: timing.leaseMs: 6 is out of range; it must be from 500 to 60000"},
		"inline table":         {minimal + "timing = {leaseMs = 1}\n", "10:1: dataCentres.timing: unknown key"},
		"dotted key":           {"timing.leaseMs = 1\n" + minimal, "1:8: timing.leaseMs: 1 is out of range"},
		"slow renewal":         {minimal + "[timing]\nrenewalMs = 2001\n", "11:1: timing.renewalMs: 2001 must be at most a third of leaseMs=6000"},
		"long promise":         {minimal + "[timing]\npromiseMs = 6001\n", "11:1: timing.promiseMs: 6001 must be at most"},
		"short extension":      {minimal + "[timing]\nmaxExtensionMs = 5000\n", "11:1: timing.maxExtensionMs: 5000 must be at least"},
		"slow heartbeat":       {minimal + "[timing]\nheartbeatMs = 500\n", "11:1: timing.heartbeatMs: 500 must be"},
		"late suspicion":       {minimal + "[timing]\nsuspectMs = 2000\n", "11:1: timing.suspectMs: 2000 must be less than"},
		"short task lease":     {minimal + "[timing]\ntaskLeaseMs = 11999\n", "11:1: timing.taskLeaseMs: 11999 must be"},
		"caller over all":      {minimal + "[limits]\nqueuedRequests = 100\n", "10:2: limits.callerQueuedRequests: 2000 must be at most"},
		"body over queue":      {minimal + "[limits]\ncallerQueuedBytes = 65536\n", "10:2: limits.bodyBytes: 262144 must be at most"},
		"other data centre":    {strings.Replace(minimal, `["gyor"`, `["cluj"`, 1), "3:1: instance.dataCentre: \"gyor\" is not among"},
		"data centre twice":    {strings.Replace(minimal, "sopron", "gyor", 1), "9:1: dataCentres.names: names \"gyor\" twice"},
		"no data centres":      {strings.Replace(minimal, `["gyor", "sopron"]`, "[]", 1), "9:1: dataCentres.names: must name at least one"},
		"host name":            {minimal + "[listen]\nhttp = \"localhost:80\"\n", "11:1: listen.http: \"localhost:80\" is not IP:PORT"},
		"no address":           {minimal + "[listen]\npeer = \"0.0.0.0:80\"\n", "11:1: listen.peer: 0.0.0.0:80 names no address"},
		"advertise all":        {minimal + "[advertise]\npeer = \"0.0.0.0:80\"\n", "11:1: advertise.peer: \"0.0.0.0:80\" can't be"},
		"URL":                  {strings.Replace(minimal, "http://127.0.0.1:7001", "127.0.0.1:7001", 1), "5:1: platform.table: \"127.0.0.1:7001\" is not"},
		"name for a row key":   {strings.Replace(minimal, "gyor-1", "gyor/1", 1), "2:1: instance.name: \"gyor/1\" holds '/'"},
		"level":                {minimal + "[log]\nlevel = \"loud\"\n", "11:1: log.level: must be"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := Parse("s", []byte(c.src))
			require.Nil(t, s)
			var findings parser.Findings
			require.ErrorAs(t, err, &findings)
			require.Len(t, findings, 1, "%v", err)
			require.True(t, strings.HasPrefix(err.Error(), "s:"+c.want), "got %s\nwant s:%s", err, c.want)
		})
	}
}

// FuzzParse guards against a settings file that crashes the loader or that gives
// different answers on two readings.
func FuzzParse(f *testing.F) {
	f.Add(minimal)
	f.Add(minimal + "[timing]\nleaseMs = 0x10\n[[log]]\n'a.b'.c = {x = [1, 2.5, inf, 1979-05-27]}\n")
	f.Add("\"\\u00e9\".leaseMs = 1\n[é]\n")
	f.Fuzz(func(t *testing.T, src string) {
		first, err := Parse("s", []byte(src))
		second, again := Parse("s", []byte(src))
		require.Equal(t, first, second)
		require.Equal(t, err, again)
		require.Equal(t, err == nil, first != nil)
	})
}

func ExampleParse() {
	src := `[instance]
name = "gyor-1"
dataCentre = "gyor"
[platform]
table = "http://127.0.0.1:7001"
objects = "127.0.0.1:7002"
directory = "http://127.0.0.1:7003"
[dataCentres]
names = ["gyor", "sopron", "szombathely"]
[timing]
leaseMs = "6s"
`
	_, err := Parse("gyor-1.toml", []byte(src))
	fmt.Println(err)
	// Output:
	// gyor-1.toml:6:1: platform.objects: "127.0.0.1:7002" is not an http or https URL
	// gyor-1.toml:11:1: timing.leaseMs: must be a whole number, not a string
}

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

const minimalFile = `[instance]
name = "gyor-1"
dataCentre = "gyor"
[platform]
table = "http://127.0.0.1:7001"
objects = "http://127.0.0.1:7002"
directory = "http://127.0.0.1:7003"
[dataCentres]
names = ["gyor", "sopron"]
`

// TestLoadAppliesDefaults guards against values that are stored in the wrong setting
// and against defaults that are lost when a section sets only some of its keys.
func TestLoadAppliesDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	src := minimalFile + "[timing]\nleaseMs = 9000\nrenewalMs = 3000\n[limits]\nbodyBytes = 4096\n"
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

// TestEachKeySetsOnlyItsOwnSetting guards against two keys that write the same
// setting and against a default that is outside the range of its key.
func TestEachKeySetsOnlyItsOwnSetting(t *testing.T) {
	baseSettings, err := Parse("s", []byte(minimalFile))
	require.NoError(t, err)
	values := map[string]any{
		"instance.region": "r", "instance.name": "other", "instance.dataCentre": "other", "log.level": "warn", "log.format": "json",
		"dataCentres.names": []any{"x"},
	}
	for _, k := range keys {
		changed := *baseSettings
		newValue, ok := values[k.path]
		switch {
		case ok:
		case strings.HasPrefix(k.path, "platform."):
			newValue = "https://127.0.0.1:1"
		case strings.HasPrefix(k.path, "listen."), strings.HasPrefix(k.path, "advertise."):
			newValue = "127.0.0.9:9"
		default:
			var current int64
			_, err := fmt.Sscan(k.format(baseSettings), &current)
			require.NoError(t, err, k.path)
			require.NoError(t, k.set(&changed, current), "default of %s", k.path)
			newValue = current + 1
		}
		require.NoError(t, k.set(&changed, newValue), k.path)
		for _, other := range keys {
			if other.path != k.path {
				require.Equal(t, other.format(baseSettings), other.format(&changed), "%s changed %s", k.path, other.path)
			}
		}
		require.NotEqual(t, k.format(baseSettings), k.format(&changed), k.path)
	}
}

// TestLoadFindings guards against invalid settings that are accepted or that are
// reported at the wrong position.
func TestLoadFindings(t *testing.T) {
	cases := map[string]struct{ src, want string }{
		"syntax error":                              {"a = \n", "1:5: "},
		"non-ASCII key":                             {"é = 1\n", "1:1: "},
		"duplicate key":                             {"[log]\nlevel = \"info\"\nlevel = \"warn\"\n", "3:1: key level is already defined"},
		"unknown section":                           {minimalFile + "[tming]\n", "10:2: tming: unknown section"},
		"unknown key":                               {minimalFile + "[log]\nfromat = \"json\"\n", "11:1: log.fromat: unknown key; the section takes level, format"},
		"integer instead of section":                {"log = 1\n" + minimalFile, "1:1: log: must be a table, not a whole number"},
		"missing required key":                      {strings.Replace(minimalFile, "name =", "region =", 1), "1:2: instance.name: is missing and has no default"},
		"string instead of integer":                 {minimalFile + "[timing]\n  leaseMs = \"6s\"\n", "11:3: timing.leaseMs: must be a whole number, not a string"},
		"float instead of integer":                  {minimalFile + "[timing]\nleaseMs = 6000.5\n", "11:1: timing.leaseMs: must be a whole number, not a fraction"},
		"integer instead of string":                 {minimalFile + "[log]\nformat = 1\n", "11:1: log.format: must be a string, not a whole number"},
		"integer out of range":                      {minimalFile + "[timing]\nleaseMs = 6\n", "11:1: timing.leaseMs: 6 is out of range; it must be from 500 to 60000"},
		"inline table in another section":           {minimalFile + "timing = {leaseMs = 1}\n", "10:1: dataCentres.timing: unknown key"},
		"dotted key":                                {"timing.leaseMs = 1\n" + minimalFile, "1:8: timing.leaseMs: 1 is out of range"},
		"renewal above a third of lease":            {minimalFile + "[timing]\nrenewalMs = 2001\n", "11:1: timing.renewalMs: 2001 must be at most a third of leaseMs=6000"},
		"promise above lease":                       {minimalFile + "[timing]\npromiseMs = 6001\n", "11:1: timing.promiseMs: 6001 must be at most"},
		"extension below lease":                     {minimalFile + "[timing]\nmaxExtensionMs = 5000\n", "11:1: timing.maxExtensionMs: 5000 must be at least"},
		"heartbeat above a third of suspect":        {minimalFile + "[timing]\nheartbeatMs = 500\n", "11:1: timing.heartbeatMs: 500 must be"},
		"suspect not below remove":                  {minimalFile + "[timing]\nsuspectMs = 2000\n", "11:1: timing.suspectMs: 2000 must be less than"},
		"task lease below two leases":               {minimalFile + "[timing]\ntaskLeaseMs = 11999\n", "11:1: timing.taskLeaseMs: 11999 must be"},
		"caller limit above total limit":            {minimalFile + "[limits]\nqueuedRequests = 100\n", "10:2: limits.callerQueuedRequests: 2000 must be at most"},
		"body limit above caller queue limit":       {minimalFile + "[limits]\ncallerQueuedBytes = 65536\n", "10:2: limits.bodyBytes: 262144 must be at most"},
		"unlisted data centre":                      {strings.Replace(minimalFile, `["gyor"`, `["cluj"`, 1), "3:1: instance.dataCentre: \"gyor\" is not among"},
		"duplicate data centre":                     {strings.Replace(minimalFile, "sopron", "gyor", 1), "9:1: dataCentres.names: names \"gyor\" twice"},
		"empty data centre list":                    {strings.Replace(minimalFile, `["gyor", "sopron"]`, "[]", 1), "9:1: dataCentres.names: must name at least one"},
		"host name in listen address":               {minimalFile + "[listen]\nhttp = \"localhost:80\"\n", "11:1: listen.http: \"localhost:80\" is not IP:PORT"},
		"unspecified listen address not advertised": {minimalFile + "[listen]\npeer = \"0.0.0.0:80\"\n", "11:1: listen.peer: 0.0.0.0:80 names no address"},
		"unspecified advertise address":             {minimalFile + "[advertise]\npeer = \"0.0.0.0:80\"\n", "11:1: advertise.peer: \"0.0.0.0:80\" can't be"},
		"URL without scheme":                        {strings.Replace(minimalFile, "http://127.0.0.1:7001", "127.0.0.1:7001", 1), "5:1: platform.table: \"127.0.0.1:7001\" is not"},
		"slash in name":                             {strings.Replace(minimalFile, "gyor-1", "gyor/1", 1), "2:1: instance.name: \"gyor/1\" holds '/'"},
		"unknown log level":                         {minimalFile + "[log]\nlevel = \"loud\"\n", "11:1: log.level: must be"},
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

// FuzzParse guards against input that makes Parse panic or return different results
// when it is parsed twice.
func FuzzParse(f *testing.F) {
	f.Add(minimalFile)
	f.Add(minimalFile + "[timing]\nleaseMs = 0x10\n[[log]]\n'a.b'.c = {x = [1, 2.5, inf, 1979-05-27]}\n")
	f.Add("\"\\u00e9\".leaseMs = 1\n[é]\n")
	f.Fuzz(func(t *testing.T, src string) {
		first, firstErr := Parse("s", []byte(src))
		second, secondErr := Parse("s", []byte(src))
		require.Equal(t, first, second)
		require.Equal(t, firstErr, secondErr)
		require.Equal(t, firstErr == nil, first != nil)
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

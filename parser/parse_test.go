package parser

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

const ruleComment = " # asked by Anna Kovacs: head office\n"

// TestParseReadsEveryField guards against a field that is accepted but stored in
// the wrong place or not at all.
func TestParseReadsEveryField(t *testing.T) {
	src := "\ufeff# head of the file\r\n\r\n" +
		"caller stylist-* team=salons home=gyor maxQueued=200 # asked by Anna Kovács\r\n" +
		"team salons weight=3.5 quota=40%" + ruleComment +
		"deny guest-? kind=*" + ruleComment +
		"allow stylist-* kind=routeBuild" + ruleComment +
		"kind routeBuild policy=service priority=urgent idempotent=yes checkpointable=yes tasks=2 cpuMilli=1500" +
		" memoryMiB=512 accelerators=1 slots=2 runMs=800 deadlineMs=3700 limit=12.5%" + ruleComment +
		"kind plain policy=batch" + ruleComment +
		"weigh crest value=2.5" + ruleComment +
		"\tweigh shortFirst value=3" + ruleComment
	got, err := Parse("r", []byte(src))
	require.NoError(t, err)
	want := &descriptor.Rules{
		Teams:   map[descriptor.TeamID]descriptor.Team{"salons": {ID: "salons", Weight: 3.5, Quota: 0.4}},
		Callers: []descriptor.CallerRule{{Pattern: "stylist-*", Team: "salons", Home: "gyor", MaxQueued: 200}},
		Access: []descriptor.AccessRule{
			{Caller: "guest-?", Kind: "*"},
			{Allow: true, Caller: "stylist-*", Kind: "routeBuild"},
		},
		Kinds: map[descriptor.KindName]descriptor.Kind{
			"routeBuild": {
				Name: "routeBuild", Policy: descriptor.Service, Priority: descriptor.Urgent, Idempotent: true,
				Checkpointable: true, Tasks: 2,
				Resources:   descriptor.Resources{CPU: 1500, Memory: 512, Accelerators: 1, Slots: 2},
				DeclaredRun: 800 * time.Millisecond, Deadline: 3700 * time.Millisecond, CapacityLimit: 0.125,
			},
			"plain": {
				Name: "plain", Policy: descriptor.Batch, Priority: descriptor.Normal, Tasks: 1,
				Resources:   descriptor.Resources{CPU: 1000, Memory: 256, Slots: 1},
				DeclaredRun: time.Second, Deadline: time.Minute, CapacityLimit: 1,
			},
		},
		Weights: descriptor.Weights{PeakWait: 2.5, ShortFirst: 3},
	}
	require.Equal(t, want, got)
}

// TestParseFindings guards against an invalid rules file that is accepted, or
// whose error is reported at the wrong position or with the wrong message.
func TestParseFindings(t *testing.T) {
	team := "team a weight=1" + ruleComment
	cases := map[string]struct{ src, want string }{
		"unknown verb":            {"teem a weight=1" + ruleComment, "1:1: unknown verb"},
		"no name":                 {"team weight=1" + ruleComment, "1:1: team rule has no name"},
		"no comment":              {"team a weight=1", "1:16: rule has no comment"},
		"no requester":            {"team a weight=1 # asked by : x", "1:17: comment does not name who asked"},
		"malformed comment":       {"team a weight=1 # by Anna", "1:17: comment does not name who asked"},
		"unknown field":           {"team a weight=1 wieght=2" + ruleComment, `1:17: unknown field "wieght"; this rule takes weight, quota`},
		"repeated field":          {"team a weight=1 weight=2" + ruleComment, `1:17: field "weight" is repeated`},
		"missing field":           {"team a" + ruleComment, `1:1: team rule has no field "weight"`},
		"not a field":             {"team a weight=1 quota" + ruleComment, `1:17: "quota" is not a field`},
		"percentage without unit": {"team a weight=1 quota=40" + ruleComment, "1:23: quota: \"40\" is not a percentage"},
		"zero percentage":         {"team a weight=1 quota=0%" + ruleComment, "1:23: quota: 0% is out of range"},
		"percentage over 100%":    {"team a weight=1 quota=101%" + ruleComment, "1:23: quota: 101% is out of range"},
		"infinite number":         {"team a weight=inf" + ruleComment, `1:15: weight: "inf" is not a number`},
		"two decimal points":      {"team a weight=1.2.3" + ruleComment, `1:15: weight: "1.2.3" is not a number`},
		"weight too small":        {"team a weight=0.5" + ruleComment, "1:15: weight: 0.5 is out of range"},
		"number with unit":        {"kind k policy=batch runMs=8s" + ruleComment, `1:27: runMs: "8s" is not a whole number`},
		"integer overflow":        {"kind k policy=batch runMs=99999999999999999999" + ruleComment, "1:27: runMs: 99999999999999999999 is out of range"},
		"explicit plus sign":      {"kind k policy=batch tasks=+2" + ruleComment, `1:27: tasks: "+2" is not a whole number`},
		"negative number":         {"kind k policy=batch cpuMilli=-1" + ruleComment, "1:30: cpuMilli: -1 is out of range"},
		"zero slots":              {"kind k policy=batch slots=0" + ruleComment, "1:27: slots: 0 is out of range"},
		"unknown policy":          {"kind k policy=urgent" + ruleComment, `1:15: policy: unknown policy "urgent"`},
		"invalid boolean":         {"kind k policy=batch idempotent=true" + ruleComment, `1:32: idempotent: "true" is neither`},
		"gang with one task":      {"kind k policy=gang" + ruleComment, "1:15: a gang needs tasks=2"},
		"run time over deadline":  {"kind k policy=batch runMs=90000" + ruleComment, "1:27: runMs=90000 exceeds deadlineMs=60000"},
		"duplicate team":          {team + "team a weight=2" + ruleComment, "2:6: team a repeats line 1"},
		"duplicate kind":          {"kind k policy=batch" + ruleComment + "kind k policy=batch" + ruleComment, "2:6: kind k repeats line 1"},
		"duplicate caller":        {team + "caller x team=a" + ruleComment + "caller x team=a home=h" + ruleComment, "3:8: caller x repeats line 2; the first match"},
		"duplicate access rule":   {"allow x kind=*" + ruleComment + "deny x kind=*" + ruleComment, "2:6: deny x repeats line 1; the first match"},
		"duplicate weight":        {"weigh crest value=1" + ruleComment + "weigh crest value=2" + ruleComment, "2:7: weigh crest repeats line 1"},
		"unknown weight":          {"weigh speed value=1" + ruleComment, `1:7: unknown weight "speed"`},
		"unknown team":            {"caller x team=b" + ruleComment, `1:15: no rule defines team "b"`},
		"unknown kind":            {"allow x kind=k" + ruleComment, `1:14: no rule defines kind "k"`},
		"malformed pattern":       {"allow [x kind=*" + ruleComment, `1:7: allow: pattern "[x" is malformed`},
		"slash in pattern":        {"allow a/* kind=*" + ruleComment, `1:7: allow: pattern "a/*" holds '/'`},
		"empty value":             {"team a weight=1" + ruleComment + "caller x team=" + ruleComment, "2:15: team: value is empty"},
		"asterisk in name":        {"team a* weight=1" + ruleComment, `1:6: team: "a*" holds '*'`},
		"quotas over 100%":        {"team a weight=1 quota=60%" + ruleComment + "team b weight=1 quota=40.1%" + ruleComment, "2:23: quotas of all teams add up to 100.1%"},
		"no rule":                 {"# nothing here\n", "1:1: file holds no rule"},
		"invalid UTF-8":           {"team a\xff weight=1" + ruleComment, "1:7: line is not valid UTF-8"},
		"control character":       {"team a\x00 weight=1" + ruleComment, "1:7: control character U+0000"},
		"carriage return":         {"team a weight=1 # asked by A\rteam b weight=1", "1:29: control character U+000D"},
		"line too long":           {"team a weight=1 # asked by " + strings.Repeat("x", maxLineBytes), "1:1: line has"},
		"name too long":           {"team " + strings.Repeat("x", maxNameBytes+1) + " weight=1" + ruleComment, "1:6: team: value has 129 bytes"},
		"file too large":          {strings.Repeat("\n", MaxFileBytes+1), "1:1: file has 262145 bytes"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rules, err := Parse("r", []byte(c.src))
			require.Nil(t, rules)
			var findings Findings
			require.ErrorAs(t, err, &findings)
			require.Len(t, findings, 1, "%v", err)
			require.True(t, strings.HasPrefix(err.Error(), "r:"+c.want), "got %s\nwant r:%s", err, c.want)
		})
	}
}

// TestParseAcceptsQuotasOf100Percent guards against rounding errors that make ten
// quotas of 10% add up to more than 100%.
func TestParseAcceptsQuotasOf100Percent(t *testing.T) {
	for _, n := range []int{3, 7, 10, 220} {
		src := ""
		for i := range n {
			src += fmt.Sprintf("team t%d weight=1 quota=%.4f%%%s", i, 100/float64(n)-0.00005, ruleComment)
		}
		_, err := Parse("r", []byte(src))
		require.NoError(t, err, n)
	}
}

// TestParseReportsAllFindings guards against a parser that stops at the first
// error, so that an operator has to fix each one to see the next.
func TestParseReportsAllFindings(t *testing.T) {
	src := "caller x team=b team=c\nteam a weight=0 quota=1\nbogus\n"
	_, err := Parse("r", []byte(src))
	var findings Findings
	require.ErrorAs(t, err, &findings)
	require.Len(t, findings, 8, "%v", err)

	_, err = Parse("r", []byte("team é weight=0"+ruleComment))
	require.ErrorAs(t, err, &findings)
	require.Len(t, findings, 2)
	require.Equal(t, 15, findings[1].Column, "a column counts characters, not bytes")
}

// TestParseRejectsUnknownHome guards against accepting a misspelt home, whose
// callers would always be refused.
func TestParseRejectsUnknownHome(t *testing.T) {
	src := []byte("team a weight=1" + ruleComment + "caller x team=a home=gyor" + ruleComment + "caller y team=a home=gyr" + ruleComment + "caller z team=a" + ruleComment)
	_, err := ParseWithDataCentres([]descriptor.DataCentreID{"gyor", "sopron"}, "r", src)
	require.EqualError(t, err, `r:3:22: the cell has no data centre "gyr"`)
	_, err = Parse("r", src)
	require.NoError(t, err)
}

// TestParseLimitsFindings guards against a response much larger than the file.
func TestParseLimitsFindings(t *testing.T) {
	_, err := Parse("r", []byte(strings.Repeat("x\n", 10_000)))
	var findings Findings
	require.ErrorAs(t, err, &findings)
	require.Len(t, findings, MaxFindings+1)
	require.Contains(t, findings[MaxFindings].Message, "further findings are left out")
}

// FuzzParse guards against a file that crashes the parser, that produces
// different results when parsed twice, or that is accepted with values out of
// range.
func FuzzParse(f *testing.F) {
	f.Add("team a weight=1 quota=40%" + ruleComment + "caller * team=a" + ruleComment + "allow * kind=k" + ruleComment)
	f.Add("kind k policy=gang tasks=6 limit=50% runMs=1 deadlineMs=2" + ruleComment + "weigh crest value=2" + ruleComment)
	f.Add("\ufeffteam é=\xff # asked\r\n\x00[=#%")
	f.Add("deny [a-]* kind=[^b]?" + ruleComment)
	f.Fuzz(func(t *testing.T, src string) {
		rules, err := Parse("r", []byte(src))
		rules2, err2 := Parse("r", []byte(src))
		require.Equal(t, rules, rules2)
		require.Equal(t, err, err2)
		if err != nil {
			var findings Findings
			require.ErrorAs(t, err, &findings)
			require.NotEmpty(t, findings)
			require.LessOrEqual(t, len(findings), MaxFindings+1)
			return
		}
		quotaSum := 0.0
		for _, team := range rules.Teams {
			require.GreaterOrEqual(t, team.Weight, 1.0)
			quotaSum += team.Quota
		}
		require.LessOrEqual(t, quotaSum, 1.0001)
		for _, c := range rules.Callers {
			require.Contains(t, rules.Teams, c.Team)
		}
		for _, k := range rules.Kinds {
			require.True(t, k.Tasks >= 1 && k.Resources.Slots >= 1 && k.Resources.CPU >= 1 && k.DeclaredRun > 0 && k.Deadline > 0)
			require.True(t, k.CapacityLimit > 0 && k.CapacityLimit <= 1)
		}
	})
}

func ExampleParse() {
	src := `team  salons    weight=3 quota=40%      # asked by Anna Kovacs: head office
caller stylist-* team=salon             # asked by Anna Kovacs
kind  weekPlan  policy=batch runMs=2s   # asked by Bela Nagy: weekly rounds
`
	_, err := Parse("salon.rules", []byte(src))
	fmt.Println(err)
	// Output:
	// salon.rules:2:23: no rule defines team "salon"
	// salon.rules:3:36: runMs: "2s" is not a whole number
}

// BenchmarkParse parses a file of the planned size: 220 teams, 1,000 caller rules
// and 1,000 access rules.
func BenchmarkParse(b *testing.B) {
	var src strings.Builder
	src.WriteString("kind k policy=batch" + ruleComment)
	for i := range 220 {
		fmt.Fprintf(&src, "team t%d weight=1 quota=0.4%%%s", i, ruleComment)
	}
	for i := range 1000 {
		fmt.Fprintf(&src, "caller c%d-* team=t%d%sallow c%d-* kind=k%s", i, i%220, ruleComment, i, ruleComment)
	}
	b.SetBytes(int64(src.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("r", []byte(src.String())); err != nil {
			b.Fatal(err)
		}
	}
}

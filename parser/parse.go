package parser

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// MaxFileBytes bounds a rules file. It equals the largest body that the
// operators' API accepts.
const MaxFileBytes = 256 << 10

// Parse reads a rules file. name is used in findings only. The error is nil or
// of type Findings, which holds all faults of the file. The version of the
// rules is left at 0.
func Parse(name string, src []byte) (*descriptor.Rules, error) {
	return ParseFor(nil, name, src)
}

// ParseFor is Parse for a cell with the given data centres: a home that is not
// among them is a finding, since its callers would always be refused. Without
// data centres every home is accepted.
func ParseFor(dataCentres []descriptor.DataCentreID, name string, src []byte) (*descriptor.Rules, error) {
	rep := &Report{File: name}
	if len(src) > MaxFileBytes {
		rep.Add(1, 1, "file has %d bytes; at most %d are allowed", len(src), MaxFileBytes)
		return nil, rep.Err()
	}
	b := newBuilder(rep)
	b.dataCentres = dataCentres
	statements := split(src, rep)
	for _, st := range statements {
		b.add(st)
	}
	// An empty file would deny everything to everyone. It is far more often a
	// failed write than an intention.
	if len(statements) == 0 && rep.Err() == nil {
		rep.Add(1, 1, "file holds no rule")
	}
	b.checkReferences()
	b.checkQuotas()
	if err := rep.Err(); err != nil {
		return nil, err
	}
	return b.rules, nil
}

// position is where a rule or one of its values stands.
type position struct {
	line, column int
}

// builder collects the rules of one file.
type builder struct {
	rep   *Report
	rules *descriptor.Rules
	// dataCentres are the permitted homes; empty means any.
	dataCentres []descriptor.DataCentreID
	// seen maps each rule's identity to the line of its first occurrence.
	seen map[string]int

	quotas     []quotaUse
	teamUses   []use
	kindUses   []use
	knownTeams map[descriptor.TeamID]bool
	knownKinds map[descriptor.KindName]bool
}

// quotaUse is the quota of one team.
type quotaUse struct {
	at       position
	fraction float64
}

// use is a reference from one rule to the name of another.
type use struct {
	at   position
	name string
}

func newBuilder(rep *Report) *builder {
	return &builder{
		rep: rep,
		rules: &descriptor.Rules{
			Teams:   make(map[descriptor.TeamID]descriptor.Team),
			Kinds:   make(map[descriptor.KindName]descriptor.Kind),
			Weights: descriptor.Weights{PeakWait: 1, ShortFirst: 1},
		},
		seen:       make(map[string]int),
		knownTeams: make(map[descriptor.TeamID]bool),
		knownKinds: make(map[descriptor.KindName]bool),
	}
}

// add reads one statement.
func (b *builder) add(st statement) {
	read, known := map[string]func(statement){
		"team":   b.addTeam,
		"caller": b.addCaller,
		"allow":  b.addAccess,
		"deny":   b.addAccess,
		"kind":   b.addKind,
		"weigh":  b.addWeight,
	}[st.verb.text]
	if !known {
		b.rep.Add(st.line, st.verb.column,
			"unknown verb %q; a rule starts with team, caller, allow, deny, kind or weigh", st.verb.text)
		return
	}
	if st.name.text == "" {
		b.rep.Add(st.line, st.verb.column, "%s rule has no name", st.verb.text)
		return
	}
	read(st)
}

// checkNamed reports a bad name of a rule.
func (b *builder) checkNamed(st statement, check func(string) error) bool {
	if err := check(st.name.text); err != nil {
		b.rep.Add(st.line, st.name.column, "%s: %v", st.verb.text, err)
		return false
	}
	return true
}

// first reports whether no earlier line holds a rule with the same identity.
// The finding for a later one ends with the consequence.
func (b *builder) first(st statement, identity, consequence string) bool {
	if line, repeated := b.seen[identity]; repeated {
		b.rep.Add(st.line, st.name.column, "%s %s repeats line %d%s", st.verb.text, st.name.text, line, consequence)
		return false
	}
	b.seen[identity] = st.line
	return true
}

const neverApplies = "; the first match decides, so this line never applies"

var teamSpecs = []spec[descriptor.Team]{
	required(decimal("weight", 1, 1e6, func(t *descriptor.Team) *float64 { return &t.Weight })),
	percent("quota", func(t *descriptor.Team) *float64 { return &t.Quota }),
}

func (b *builder) addTeam(st statement) {
	team := descriptor.Team{ID: descriptor.TeamID(st.name.text)}
	named := b.checkNamed(st, checkName)
	columns, _ := readFields(st, teamSpecs, &team, b.rep)
	b.knownTeams[team.ID] = true
	if !named || !b.first(st, "team "+st.name.text, "") {
		return
	}
	if team.Quota > 0 {
		at := position{st.line, columns["quota"]}
		b.quotas = append(b.quotas, quotaUse{at, team.Quota})
	}
	b.rules.Teams[team.ID] = team
}

var callerSpecs = []spec[descriptor.CallerRule]{
	required(text("team", checkName, func(c *descriptor.CallerRule) *descriptor.TeamID { return &c.Team })),
	text("home", checkName, func(c *descriptor.CallerRule) *descriptor.DataCentreID { return &c.Home }),
	integer("maxQueued", 1, 1_000_000, func(c *descriptor.CallerRule) *int { return &c.MaxQueued }),
}

func (b *builder) addCaller(st statement) {
	rule := descriptor.CallerRule{Pattern: st.name.text}
	named := b.checkNamed(st, checkPattern)
	columns, _ := readFields(st, callerSpecs, &rule, b.rep)
	if rule.Team != "" {
		at := position{st.line, columns["team"]}
		b.teamUses = append(b.teamUses, use{at, string(rule.Team)})
	}
	if rule.Home != "" && len(b.dataCentres) > 0 && !slices.Contains(b.dataCentres, rule.Home) {
		b.rep.Add(st.line, columns["home"], "the cell has no data centre %q", rule.Home)
	}
	if named && b.first(st, "caller "+st.name.text, neverApplies) {
		b.rules.Callers = append(b.rules.Callers, rule)
	}
}

var accessSpecs = []spec[descriptor.AccessRule]{
	required(text("kind", checkPattern, func(a *descriptor.AccessRule) *string { return &a.Kind })),
}

func (b *builder) addAccess(st statement) {
	rule := descriptor.AccessRule{Allow: st.verb.text == "allow", Caller: st.name.text}
	named := b.checkNamed(st, checkPattern)
	columns, ok := readFields(st, accessSpecs, &rule, b.rep)
	if !named || !ok {
		return
	}
	if !strings.ContainsAny(rule.Kind, `*?[`) {
		at := position{st.line, columns["kind"]}
		b.kindUses = append(b.kindUses, use{at, rule.Kind})
	}
	// A blank can't be part of a pattern, so the identity is unambiguous.
	if b.first(st, "access "+rule.Caller+" "+rule.Kind, neverApplies) {
		b.rules.Access = append(b.rules.Access, rule)
	}
}

// Defaults of a kind rule.
const (
	defaultCPU      = descriptor.MilliCPU(1000)
	defaultMemory   = descriptor.MiB(256)
	defaultRun      = time.Second
	defaultDeadline = time.Minute
)

var kindSpecs = []spec[descriptor.Kind]{
	required(choice("policy", descriptor.ParsePolicy, func(k *descriptor.Kind) *descriptor.Policy { return &k.Policy })),
	choice("priority", descriptor.ParsePriority, func(k *descriptor.Kind) *descriptor.Priority { return &k.Priority }),
	yesNo("idempotent", func(k *descriptor.Kind) *bool { return &k.Idempotent }),
	yesNo("checkpointable", func(k *descriptor.Kind) *bool { return &k.Checkpointable }),
	integer("tasks", 1, 1000, func(k *descriptor.Kind) *int { return &k.Tasks }),
	integer("cpuMilli", 1, 1_000_000, func(k *descriptor.Kind) *descriptor.MilliCPU { return &k.Resources.CPU }),
	integer("memoryMiB", 1, 16<<20, func(k *descriptor.Kind) *descriptor.MiB { return &k.Resources.Memory }),
	integer("accelerators", 0, 1000, func(k *descriptor.Kind) *int { return &k.Resources.Accelerators }),
	integer("slots", 1, 1000, func(k *descriptor.Kind) *int { return &k.Resources.Slots }),
	milliseconds("runMs", func(k *descriptor.Kind) *time.Duration { return &k.DeclaredRun }),
	milliseconds("deadlineMs", func(k *descriptor.Kind) *time.Duration { return &k.Deadline }),
	percent("limit", func(k *descriptor.Kind) *float64 { return &k.CapacityLimit }),
}

func (b *builder) addKind(st statement) {
	// Work that nobody declared idempotent must not run twice, so that is the
	// default.
	kind := descriptor.Kind{
		Name: descriptor.KindName(st.name.text), Priority: descriptor.Normal, Tasks: 1,
		Resources:   descriptor.Resources{CPU: defaultCPU, Memory: defaultMemory, Slots: 1},
		DeclaredRun: defaultRun, Deadline: defaultDeadline, CapacityLimit: 1,
	}
	named := b.checkNamed(st, checkName)
	columns, ok := readFields(st, kindSpecs, &kind, b.rep)
	b.knownKinds[kind.Name] = true
	if ok {
		b.checkKind(st, kind, columns)
	}
	if named && b.first(st, "kind "+st.name.text, "") {
		b.rules.Kinds[kind.Name] = kind
	}
}

// checkKind reports fields of a kind that contradict each other.
func (b *builder) checkKind(st statement, kind descriptor.Kind, columns map[string]int) {
	if kind.Policy == descriptor.Gang && kind.Tasks < 2 {
		b.rep.Add(st.line, columns["policy"], "a gang needs tasks=2 or more")
	}
	// A service runs on after its caller got an answer, so its run time may
	// exceed its deadline.
	if kind.Policy != descriptor.Service && kind.DeclaredRun > kind.Deadline {
		b.rep.Add(st.line, max(columns["runMs"], columns["deadlineMs"]),
			"runMs=%d exceeds deadlineMs=%d, so every request would be refused",
			kind.DeclaredRun.Milliseconds(), kind.Deadline.Milliseconds())
	}
}

// weight is the value of a weigh rule.
type weight struct{ value float64 }

var weightSpecs = []spec[weight]{
	required(decimal("value", 0.01, 100, func(w *weight) *float64 { return &w.value })),
}

func (b *builder) addWeight(st statement) {
	at, known := map[string]*float64{
		"crest":      &b.rules.Weights.PeakWait,
		"shortFirst": &b.rules.Weights.ShortFirst,
	}[st.name.text]
	var w weight
	_, ok := readFields(st, weightSpecs, &w, b.rep)
	if !known {
		b.rep.Add(st.line, st.name.column, "unknown weight %q; the weights are crest and shortFirst", st.name.text)
		return
	}
	if b.first(st, "weigh "+st.name.text, "") && ok {
		*at = w.value
	}
}

// checkReferences reports names that no rule defines. A name may be defined
// after its use.
func (b *builder) checkReferences() {
	for _, u := range b.teamUses {
		if !b.knownTeams[descriptor.TeamID(u.name)] {
			b.rep.Add(u.at.line, u.at.column, "no rule defines team %q", u.name)
		}
	}
	for _, u := range b.kindUses {
		if !b.knownKinds[descriptor.KindName(u.name)] {
			b.rep.Add(u.at.line, u.at.column, "no rule defines kind %q", u.name)
		}
	}
}

// checkQuotas reports the first quota at which the sum exceeds the capacity. It
// adds millionths, so that ten quotas of 10% are exactly the whole.
func (b *builder) checkQuotas() {
	const whole = 1_000_000
	sum, over := int64(0), -1
	for i, q := range b.quotas {
		sum += int64(math.Round(q.fraction * whole))
		if sum > whole && over < 0 {
			over = i
		}
	}
	if over >= 0 {
		at := b.quotas[over].at
		b.rep.Add(at.line, at.column, "quotas of all teams add up to %g%%; at most 100%% can be promised",
			float64(sum)/(whole/100))
	}
}

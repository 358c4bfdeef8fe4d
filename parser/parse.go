package parser

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// MaxFileBytes is the maximum size of a rules file. It equals the maximum body
// size of the operators' API.
const MaxFileBytes = 256 << 10

// Parse parses a rules file. name is used only in findings. The error is nil or
// of type Findings and contains all findings of the file. The version of the
// returned rules is 0.
func Parse(name string, src []byte) (*descriptor.Rules, error) {
	return ParseWithDataCentres(nil, name, src)
}

// ParseWithDataCentres is like Parse, but also reports every home that is not one
// of the given data centres of the cell, since its callers would always be
// refused. If dataCentres is empty, every home is accepted.
func ParseWithDataCentres(dataCentres []descriptor.DataCentreID, name string, src []byte) (*descriptor.Rules, error) {
	rep := &Report{File: name}
	if len(src) > MaxFileBytes {
		rep.Add(1, 1, "file has %d bytes; at most %d are allowed", len(src), MaxFileBytes)
		return nil, rep.Err()
	}
	b := newBuilder(rep)
	b.dataCentres = dataCentres
	statements := parseStatements(src, rep)
	for _, st := range statements {
		b.addStatement(st)
	}
	// An empty rule set would deny every request of every caller. An empty file is
	// far more often the result of a failed write than intended.
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

// position is the position of a rule or of one of its values in the file.
type position struct {
	line, column int
}

// builder collects the rules of one file.
type builder struct {
	rep   *Report
	rules *descriptor.Rules
	// dataCentres are the permitted homes; empty means any.
	dataCentres []descriptor.DataCentreID
	// seen maps the key of each rule to the line of its first occurrence.
	seen map[string]int

	teamQuotas   []teamQuota
	teamRefs     []reference
	kindRefs     []reference
	definedTeams map[descriptor.TeamID]bool
	definedKinds map[descriptor.KindName]bool
}

// teamQuota is the quota of one team and its position.
type teamQuota struct {
	pos      position
	fraction float64
}

// reference is a use of a team or kind name in another rule.
type reference struct {
	pos  position
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
		seen:         make(map[string]int),
		definedTeams: make(map[descriptor.TeamID]bool),
		definedKinds: make(map[descriptor.KindName]bool),
	}
}

// addStatement interprets a statement and adds its rule.
func (b *builder) addStatement(st statement) {
	addRule, known := map[string]func(statement){
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
	addRule(st)
}

// checkRuleName reports whether the name of a rule passes check, and records a
// finding if it does not.
func (b *builder) checkRuleName(st statement, check func(string) error) bool {
	if err := check(st.name.text); err != nil {
		b.rep.Add(st.line, st.name.column, "%s: %v", st.verb.text, err)
		return false
	}
	return true
}

// checkUnique reports whether no earlier line has a rule with the same key. For a
// duplicate it records a finding whose message ends with note.
func (b *builder) checkUnique(st statement, key, note string) bool {
	if line, duplicate := b.seen[key]; duplicate {
		b.rep.Add(st.line, st.name.column, "%s %s repeats line %d%s", st.verb.text, st.name.text, line, note)
		return false
	}
	b.seen[key] = st.line
	return true
}

const shadowedNote = "; the first match decides, so this line never applies"

var teamFields = []fieldSpec[descriptor.Team]{
	requiredField(decimalField("weight", 1, 1e6, func(t *descriptor.Team) *float64 { return &t.Weight })),
	percentField("quota", func(t *descriptor.Team) *float64 { return &t.Quota }),
}

func (b *builder) addTeam(st statement) {
	team := descriptor.Team{ID: descriptor.TeamID(st.name.text)}
	validName := b.checkRuleName(st, checkName)
	columns, _ := decodeFields(st, teamFields, &team, b.rep)
	b.definedTeams[team.ID] = true
	if !validName || !b.checkUnique(st, "team "+st.name.text, "") {
		return
	}
	if team.Quota > 0 {
		pos := position{st.line, columns["quota"]}
		b.teamQuotas = append(b.teamQuotas, teamQuota{pos, team.Quota})
	}
	b.rules.Teams[team.ID] = team
}

var callerFields = []fieldSpec[descriptor.CallerRule]{
	requiredField(stringField("team", checkName, func(c *descriptor.CallerRule) *descriptor.TeamID { return &c.Team })),
	stringField("home", checkName, func(c *descriptor.CallerRule) *descriptor.DataCentreID { return &c.Home }),
	integerField("maxQueued", 1, 1_000_000, func(c *descriptor.CallerRule) *int { return &c.MaxQueued }),
}

func (b *builder) addCaller(st statement) {
	rule := descriptor.CallerRule{Pattern: st.name.text}
	validName := b.checkRuleName(st, checkPattern)
	columns, _ := decodeFields(st, callerFields, &rule, b.rep)
	if rule.Team != "" {
		pos := position{st.line, columns["team"]}
		b.teamRefs = append(b.teamRefs, reference{pos, string(rule.Team)})
	}
	if rule.Home != "" && len(b.dataCentres) > 0 && !slices.Contains(b.dataCentres, rule.Home) {
		b.rep.Add(st.line, columns["home"], "the cell has no data centre %q", rule.Home)
	}
	if validName && b.checkUnique(st, "caller "+st.name.text, shadowedNote) {
		b.rules.Callers = append(b.rules.Callers, rule)
	}
}

var accessFields = []fieldSpec[descriptor.AccessRule]{
	requiredField(stringField("kind", checkPattern, func(a *descriptor.AccessRule) *string { return &a.Kind })),
}

func (b *builder) addAccess(st statement) {
	rule := descriptor.AccessRule{Allow: st.verb.text == "allow", Caller: st.name.text}
	validName := b.checkRuleName(st, checkPattern)
	columns, ok := decodeFields(st, accessFields, &rule, b.rep)
	if !validName || !ok {
		return
	}
	if !strings.ContainsAny(rule.Kind, `*?[`) {
		pos := position{st.line, columns["kind"]}
		b.kindRefs = append(b.kindRefs, reference{pos, rule.Kind})
	}
	// A pattern cannot contain a space, so the key is unambiguous.
	if b.checkUnique(st, "access "+rule.Caller+" "+rule.Kind, shadowedNote) {
		b.rules.Access = append(b.rules.Access, rule)
	}
}

// Default values of kind fields.
const (
	defaultCPU      = descriptor.MilliCPU(1000)
	defaultMemory   = descriptor.MiB(256)
	defaultRunTime  = time.Second
	defaultDeadline = time.Minute
)

var kindFields = []fieldSpec[descriptor.Kind]{
	requiredField(enumField("policy", descriptor.ParsePolicy, func(k *descriptor.Kind) *descriptor.Policy { return &k.Policy })),
	enumField("priority", descriptor.ParsePriority, func(k *descriptor.Kind) *descriptor.Priority { return &k.Priority }),
	boolField("idempotent", func(k *descriptor.Kind) *bool { return &k.Idempotent }),
	boolField("checkpointable", func(k *descriptor.Kind) *bool { return &k.Checkpointable }),
	integerField("tasks", 1, 1000, func(k *descriptor.Kind) *int { return &k.Tasks }),
	integerField("cpuMilli", 1, 1_000_000, func(k *descriptor.Kind) *descriptor.MilliCPU { return &k.Resources.CPU }),
	integerField("memoryMiB", 1, 16<<20, func(k *descriptor.Kind) *descriptor.MiB { return &k.Resources.Memory }),
	integerField("accelerators", 0, 1000, func(k *descriptor.Kind) *int { return &k.Resources.Accelerators }),
	integerField("slots", 1, 1000, func(k *descriptor.Kind) *int { return &k.Resources.Slots }),
	millisecondsField("runMs", func(k *descriptor.Kind) *time.Duration { return &k.DeclaredRun }),
	millisecondsField("deadlineMs", func(k *descriptor.Kind) *time.Duration { return &k.Deadline }),
	percentField("limit", func(k *descriptor.Kind) *float64 { return &k.CapacityLimit }),
}

func (b *builder) addKind(st statement) {
	// Idempotent defaults to false, since work that is not declared idempotent must
	// not run twice.
	kind := descriptor.Kind{
		Name: descriptor.KindName(st.name.text), Priority: descriptor.Normal, Tasks: 1,
		Resources:   descriptor.Resources{CPU: defaultCPU, Memory: defaultMemory, Slots: 1},
		DeclaredRun: defaultRunTime, Deadline: defaultDeadline, CapacityLimit: 1,
	}
	validName := b.checkRuleName(st, checkName)
	columns, ok := decodeFields(st, kindFields, &kind, b.rep)
	b.definedKinds[kind.Name] = true
	if ok {
		b.checkKind(st, kind, columns)
	}
	if validName && b.checkUnique(st, "kind "+st.name.text, "") {
		b.rules.Kinds[kind.Name] = kind
	}
}

// checkKind records findings for fields of a kind that contradict each other.
func (b *builder) checkKind(st statement, kind descriptor.Kind, columns map[string]int) {
	if kind.Policy == descriptor.Gang && kind.Tasks < 2 {
		b.rep.Add(st.line, columns["policy"], "a gang needs tasks=2 or more")
	}
	// A service keeps running after its caller has received a response, so its run
	// time may exceed its deadline.
	if kind.Policy != descriptor.Service && kind.DeclaredRun > kind.Deadline {
		b.rep.Add(st.line, max(columns["runMs"], columns["deadlineMs"]),
			"runMs=%d exceeds deadlineMs=%d, so every request would be refused",
			kind.DeclaredRun.Milliseconds(), kind.Deadline.Milliseconds())
	}
}

// weight is the value of a weigh rule.
type weight struct{ value float64 }

var weightFields = []fieldSpec[weight]{
	requiredField(decimalField("value", 0.01, 100, func(w *weight) *float64 { return &w.value })),
}

func (b *builder) addWeight(st statement) {
	dst, known := map[string]*float64{
		"crest":      &b.rules.Weights.PeakWait,
		"shortFirst": &b.rules.Weights.ShortFirst,
	}[st.name.text]
	var w weight
	_, ok := decodeFields(st, weightFields, &w, b.rep)
	if !known {
		b.rep.Add(st.line, st.name.column, "unknown weight %q; the weights are crest and shortFirst", st.name.text)
		return
	}
	if b.checkUnique(st, "weigh "+st.name.text, "") && ok {
		*dst = w.value
	}
}

// checkReferences records a finding for each use of a team or kind that no rule
// defines. It runs after all rules are read, since a name may be used before its
// definition.
func (b *builder) checkReferences() {
	for _, ref := range b.teamRefs {
		if !b.definedTeams[descriptor.TeamID(ref.name)] {
			b.rep.Add(ref.pos.line, ref.pos.column, "no rule defines team %q", ref.name)
		}
	}
	for _, ref := range b.kindRefs {
		if !b.definedKinds[descriptor.KindName(ref.name)] {
			b.rep.Add(ref.pos.line, ref.pos.column, "no rule defines kind %q", ref.name)
		}
	}
}

// checkQuotas records a finding at the first quota at which the sum exceeds 100%.
// It adds in millionths, since the sum of ten quotas of 10% must be exactly 100%.
func (b *builder) checkQuotas() {
	const fullCapacity = 1_000_000
	sum, firstExcess := int64(0), -1
	for i, q := range b.teamQuotas {
		sum += int64(math.Round(q.fraction * fullCapacity))
		if sum > fullCapacity && firstExcess < 0 {
			firstExcess = i
		}
	}
	if firstExcess >= 0 {
		pos := b.teamQuotas[firstExcess].pos
		b.rep.Add(pos.line, pos.column, "quotas of all teams add up to %g%%; at most 100%% can be promised",
			float64(sum)/(fullCapacity/100))
	}
}

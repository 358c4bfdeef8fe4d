package parser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a file, with its position.
type Finding struct {
	File string `json:"file"`
	// Line and Column are 1-based. Column counts characters, not bytes.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings is an error that contains all findings of a file, ordered by position.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// MaxFindings is the maximum number of findings returned for one file. Without a
// limit, input that is not a rules file could produce a response many times its
// own size.
const MaxFindings = 200

// Report collects findings while a file is parsed. The zero value is ready to use
// once File is set.
type Report struct {
	File     string
	findings Findings
}

// Add records a finding at a position.
func (r *Report) Add(line, column int, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	r.findings = append(r.findings, Finding{File: r.File, Line: line, Column: column, Message: message})
}

// Err returns the findings ordered by position, or nil if there are none. If
// there are more than MaxFindings, it returns the first MaxFindings and one more
// that states how many were omitted.
func (r *Report) Err() error {
	if len(r.findings) == 0 {
		return nil
	}
	all := slices.Clone(r.findings)
	slices.SortFunc(all, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Message, b.Message))
	})
	if omitted := len(all) - MaxFindings; omitted > 0 {
		last := all[MaxFindings]
		last.Message = fmt.Sprintf("%d further findings are left out", omitted)
		all = append(all[:MaxFindings:MaxFindings], last)
	}
	return all
}

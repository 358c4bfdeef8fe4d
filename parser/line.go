package parser

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// token is a whitespace-delimited part of a line, or a key or value within one,
// with its start column.
type token struct {
	text   string
	column int
}

// field is one key=value pair of a line.
type field struct {
	key, value token
}

// statement is a line of the file, split into tokens but not yet interpreted.
type statement struct {
	line       int
	verb, name token
	fields     []field
}

// maxLineBytes is the maximum length of a line. The longest practical rule has a
// few hundred bytes.
const maxLineBytes = 4096

// parseStatements splits the source into statements. It records findings for
// malformed lines and skips lines that cannot be split into tokens.
func parseStatements(src []byte, rep *Report) []statement {
	const byteOrderMark = "\ufeff"
	var statements []statement
	text := strings.TrimPrefix(string(src), byteOrderMark)
	line := 0
	for raw := range strings.SplitSeq(text, "\n") {
		line++
		raw = strings.TrimSuffix(raw, "\r")
		if !checkLine(raw, line, rep) {
			continue
		}
		if st, ok := parseLine(raw, line, rep); ok {
			statements = append(statements, st)
		}
	}
	return statements
}

// checkLine records a finding for a line that is too long, is not valid UTF-8 or
// has a control character. It reports whether the line can be split into tokens.
func checkLine(raw string, line int, rep *Report) bool {
	if len(raw) > maxLineBytes {
		rep.Add(line, 1, "line has %d bytes; at most %d are allowed", len(raw), maxLineBytes)
		return false
	}
	column := 0
	for i, r := range raw {
		column++
		if r == utf8.RuneError && !strings.HasPrefix(raw[i:], string(utf8.RuneError)) {
			rep.Add(line, column, "line is not valid UTF-8")
			return false
		}
		if unicode.IsControl(r) && r != '\t' {
			rep.Add(line, column, "control character %U is not allowed", r)
			return false
		}
	}
	return true
}

// parseLine splits a line into tokens and checks its comment. It returns false
// if the line has no rule. A field that is not key=value is reported and left out
// of the statement.
func parseLine(raw string, line int, rep *Report) (statement, bool) {
	body, comment, hasComment := strings.Cut(raw, "#")
	tokens := tokenize(body)
	if len(tokens) == 0 {
		return statement{}, false
	}
	if !hasComment {
		rep.Add(line, utf8.RuneCountInString(strings.TrimRight(raw, " \t"))+1,
			"rule has no comment; end it with '# asked by NAME: reason'")
	} else if requester(comment) == "" {
		rep.Add(line, utf8.RuneCountInString(body)+1,
			"comment does not name who asked; write '# asked by NAME: reason'")
	}
	st := statement{line: line, verb: tokens[0]}
	rest := tokens[1:]
	if len(rest) > 0 && !strings.Contains(rest[0].text, "=") {
		st.name = rest[0]
		rest = rest[1:]
	}
	for _, t := range rest {
		if f, ok := parseField(t, line, rep); ok {
			st.fields = append(st.fields, f)
		}
	}
	return st, true
}

// requester returns NAME from a comment of the form "asked by NAME: reason", or
// "" if the comment has a different form.
func requester(comment string) string {
	words := strings.Fields(comment)
	if len(words) < 3 || words[0] != "asked" || words[1] != "by" {
		return ""
	}
	name, _, _ := strings.Cut(strings.Join(words[2:], " "), ":")
	return strings.TrimSpace(name)
}

// tokenize splits text at whitespace.
func tokenize(text string) []token {
	var tokens []token
	start, startColumn, column := -1, 0, 0
	for i, r := range text {
		column++
		isSpace := unicode.IsSpace(r)
		if isSpace && start >= 0 {
			tokens = append(tokens, token{text[start:i], startColumn})
			start = -1
		}
		if !isSpace && start < 0 {
			start, startColumn = i, column
		}
	}
	if start >= 0 {
		tokens = append(tokens, token{text[start:], startColumn})
	}
	return tokens
}

// parseField splits t at the first '='. It records a finding if t has none.
func parseField(t token, line int, rep *Report) (field, bool) {
	key, value, ok := strings.Cut(t.text, "=")
	if !ok {
		rep.Add(line, t.column, "%q is not a field; write key=value", t.text)
		return field{}, false
	}
	valueColumn := t.column + utf8.RuneCountInString(key) + 1
	return field{key: token{key, t.column}, value: token{value, valueColumn}}, true
}

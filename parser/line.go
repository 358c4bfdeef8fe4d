package parser

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// word is a part of a line with the column at which it starts.
type word struct {
	text   string
	column int
}

// field is one key=value of a line.
type field struct {
	key, value word
}

// statement is a line of the file, split but not yet understood.
type statement struct {
	line       int
	verb, name word
	fields     []field
}

// maxLineBytes bounds a line. The longest sensible rule is a few hundred bytes.
const maxLineBytes = 4096

// split divides the source into statements. It records a finding for each line
// that lacks its form and leaves that line out.
func split(src []byte, rep *Report) []statement {
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
		if st, ok := splitLine(raw, line, rep); ok {
			statements = append(statements, st)
		}
	}
	return statements
}

// checkLine reports a line that can't be split into words.
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

// splitLine divides a line into its words and checks its comment.
func splitLine(raw string, line int, rep *Report) (statement, bool) {
	body, comment, hasComment := strings.Cut(raw, "#")
	words := splitWords(body)
	if len(words) == 0 {
		return statement{}, false
	}
	if !hasComment {
		rep.Add(line, utf8.RuneCountInString(strings.TrimRight(raw, " \t"))+1,
			"rule has no comment; end it with '# asked by NAME: reason'")
	} else if askedBy(comment) == "" {
		rep.Add(line, utf8.RuneCountInString(body)+1,
			"comment does not name who asked; write '# asked by NAME: reason'")
	}
	st := statement{line: line, verb: words[0]}
	rest := words[1:]
	if len(rest) > 0 && !strings.Contains(rest[0].text, "=") {
		st.name = rest[0]
		rest = rest[1:]
	}
	for _, w := range rest {
		if f, ok := splitField(w, line, rep); ok {
			st.fields = append(st.fields, f)
		}
	}
	return st, true
}

// askedBy returns the name in a comment of the form "asked by NAME: reason", or
// "" if the comment has another form.
func askedBy(comment string) string {
	words := strings.Fields(comment)
	if len(words) < 3 || words[0] != "asked" || words[1] != "by" {
		return ""
	}
	name, _, _ := strings.Cut(strings.Join(words[2:], " "), ":")
	return strings.TrimSpace(name)
}

// splitWords divides text at blanks.
func splitWords(text string) []word {
	var words []word
	start, startColumn, column := -1, 0, 0
	for i, r := range text {
		column++
		blank := unicode.IsSpace(r)
		if blank && start >= 0 {
			words = append(words, word{text[start:i], startColumn})
			start = -1
		}
		if !blank && start < 0 {
			start, startColumn = i, column
		}
	}
	if start >= 0 {
		words = append(words, word{text[start:], startColumn})
	}
	return words
}

// splitField divides key=value.
func splitField(w word, line int, rep *Report) (field, bool) {
	key, value, ok := strings.Cut(w.text, "=")
	if !ok {
		rep.Add(line, w.column, "%q is not a field; write key=value", w.text)
		return field{}, false
	}
	valueColumn := w.column + utf8.RuneCountInString(key) + 1
	return field{key: word{key, w.column}, value: word{value, valueColumn}}, true
}

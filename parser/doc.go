// Package parser turns a rules file into descriptor.Rules.
//
// A rules file has one rule per line: a verb, a name, fields of the form
// key=value, and a comment that names the person who requested the rule:
//
//	team  salons      weight=3 quota=40%            # asked by Anna Kovacs: head office
//	caller stylist-*  team=salons home=gyor         # asked by Anna Kovacs
//	allow stylist-*   kind=routeBuild               # asked by Anna Kovacs
//	kind  routeBuild  policy=interactive runMs=800  # asked by Anna Kovacs
//	weigh crest       value=2                       # asked by Anna Kovacs
//
// Blank lines and comment-only lines are ignored. The order of lines is
// significant only among caller rules and among allow and deny rules, where the
// first match applies. Parsing is deterministic: the same bytes always produce
// the same rules or the same findings.
package parser

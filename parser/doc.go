// Package parser turns a rules file into descriptor.Rules.
//
// A rules file holds one rule per line: a verb, a name, fields of the form
// key=value, and a comment that names who asked for the rule:
//
//	team  salons      weight=3 quota=40%            # asked by Anna Kovacs: head office
//	caller stylist-*  team=salons home=gyor         # asked by Anna Kovacs
//	allow stylist-*   kind=routeBuild               # asked by Anna Kovacs
//	kind  routeBuild  policy=interactive runMs=800  # asked by Anna Kovacs
//	weigh crest       value=2                       # asked by Anna Kovacs
//
// Blank lines and lines that hold only a comment are ignored. The order of
// lines matters only among caller rules and among allow and deny rules, where
// the first match decides. Parsing the same bytes always gives the same rules
// or the same findings.
package parser

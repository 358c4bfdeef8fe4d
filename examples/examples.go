// Package examples holds the example settings, rules and jobs.
package examples

import "embed"

// Files holds all example files.
//
//go:embed *.rules *.toml *.jsonl
var Files embed.FS

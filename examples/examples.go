// Package examples embeds the example settings, rules and jobs.
package examples

import "embed"

// Files contains the .rules, .toml and .jsonl files of this directory.
//
//go:embed *.rules *.toml *.jsonl
var Files embed.FS

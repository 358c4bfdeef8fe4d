package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConfigCheck guards against wrong exit codes and positions, and against API keys in
// the output.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	valid := write("valid.json", `{"version":1,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s","attempts":1}],"services":[{"name":"s"}],`+
		`"tenants":[{"name":"south","apiKeys":["secretKey"],"weight":2}]}`)
	twice := write("twice.json", `{"version":2,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s","attempts":1}],"services":[{"name":"s"}],"tenants":[
  {"name":"south","apiKeys":["secretKey"],"weight":2},
  {"name":"north","apiKeys":["secretKey"],"weight":2}]}`)
	broken := write("broken.json", "{\"version\":1,\n \"routes\":3}")
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{valid}, 0, ""},
		{[]string{twice, "--in-force", valid}, 1, "twice.json:3:30: contradictory: tenant 1 (north), key 0: the same key stands at tenant 0 (south), key 0, which it belongs to\nchange: tenant north: added\n"},
		{[]string{twice, "--json"}, 1, `"kind":"contradictory"`},
		{[]string{broken}, 2, "broken.json:2:11: field routes is a number"},
		{[]string{filepath.Join(dir, "none.json")}, 2, "read configuration"},
	} {
		var out strings.Builder
		require.Equal(t, tc.code, run(context.Background(), append([]string{"config", "check"}, tc.args...), nil, &out, &out), out.String())
		require.Contains(t, strings.ReplaceAll(out.String(), `": "`, `":"`), tc.want)
		require.NotContains(t, out.String(), "secretKey")
	}
}

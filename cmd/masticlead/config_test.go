package main

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConfigCheck guards against wrong exit codes and positions, and against API keys in
// the output.
func TestConfigCheck(t *testing.T) {
	const valid, twice, broken = "testdata/valid.json", "testdata/key-twice.json", "testdata/broken.json"
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{valid}, 0, ""},
		{[]string{twice, "--in-force", valid}, 1, "key-twice.json:3:30: contradictory: tenant 1 (north), key 0: the same key stands at tenant 0 (south), key 0, which it belongs to\nchange: tenant north: added\n"},
		{[]string{twice, "--json"}, 1, `"kind":"contradictory"`},
		{[]string{broken}, 2, "broken.json:2:11: field routes is a number"},
		{[]string{"testdata/none.json"}, 2, "read configuration"},
	} {
		var out strings.Builder
		require.Equal(t, tc.code, run(context.Background(), append([]string{"config", "check"}, tc.args...), nil, &out, &out), out.String())
		require.Contains(t, strings.ReplaceAll(out.String(), `": "`, `":"`), tc.want)
		require.NotContains(t, out.String(), "secretKey")
	}
}

package loader

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOperationsPageListsEveryKey guards against a key or default that is missing
// or outdated in the table of settings in docs/OPERATIONS.md.
func TestOperationsPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	defaults := Default()
	for _, k := range keys {
		row := "| `" + k.path + "` | " + k.format(&defaults)
		if k.format(&defaults) != "" {
			row += " "
		}
		require.Contains(t, string(page), "\n"+row+"| ", k.path)
	}
}

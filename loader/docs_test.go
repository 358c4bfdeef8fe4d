package loader

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOperationsPageListsEveryKey guards against a setting, or a default, that
// the operations page does not tell.
func TestOperationsPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	d := Default()
	for _, k := range keys {
		row := "| `" + k.path + "` | " + k.show(&d)
		if k.show(&d) != "" {
			row += " "
		}
		require.Contains(t, string(page), "\n"+row+"| ", k.path)
	}
}

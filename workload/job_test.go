package workload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheck guards against jobs that end every process that takes them over: they
// are stored, and each new coordinator would load them again.
func TestCheck(t *testing.T) {
	one := Step{Count: 1}
	for name, c := range map[string]struct {
		job Job
		ok  bool
	}{
		"plain":               {Job{ID: "j", Steps: []Step{one}}, true},
		"most tasks":          {Job{ID: "j", Steps: []Step{{Count: MaxTasks}}}, true},
		"no steps":            {Job{ID: "j"}, false},
		"no id":               {Job{Steps: []Step{one}}, false},
		"no tasks":            {Job{ID: "j", Steps: []Step{{}}}, false},
		"negative count":      {Job{ID: "j", Steps: []Step{{Count: -1}}}, false},
		"too many":            {Job{ID: "j", Steps: []Step{{Count: 2_000_000_000}}}, false},
		"too many in all":     {Job{ID: "j", Steps: []Step{{Count: MaxTasks}, one}}, false},
		"too often":           {Job{ID: "j", Repeat: MaxTasks, Steps: []Step{one, one}}, false},
		"far too often":       {Job{ID: "j", Repeat: 2_000_000_000, Steps: []Step{one}}, false},
		"negative times":      {Job{ID: "j", Repeat: -1, Steps: []Step{one}}, false},
		"after itself":        {Job{ID: "j", Steps: []Step{{Count: 1, After: []int{0}}}}, false},
		"after a later":       {Job{ID: "j", Steps: []Step{{Count: 1, After: []int{1}}, one}}, false},
		"negative need":       {Job{ID: "j", Steps: []Step{{Count: 1, Need: Resources{CPU: -1}}}}, false},
		"need that sums over": {Job{ID: "j", Steps: []Step{{Count: 1, Need: Resources{Mem: 1 << 62}}}}, false},
		"negative runtime":    {Job{ID: "j", Steps: []Step{{Count: 1, Estimate: -1}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.job.Check()
			if c.ok {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrInvalid)
		})
	}
}

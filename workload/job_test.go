package workload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestJobValidate guards against stored jobs that crash the coordinator. Such a job
// would be loaded again by each new coordinator, and crash it as well.
func TestJobValidate(t *testing.T) {
	one := Step{Count: 1}
	for name, c := range map[string]struct {
		job Job
		ok  bool
	}{
		"valid":                               {Job{ID: "j", Steps: []Step{one}}, true},
		"maximum tasks":                       {Job{ID: "j", Steps: []Step{{Count: MaxTasks}}}, true},
		"no steps":                            {Job{ID: "j"}, false},
		"no ID":                               {Job{Steps: []Step{one}}, false},
		"no tasks":                            {Job{ID: "j", Steps: []Step{{}}}, false},
		"negative count":                      {Job{ID: "j", Steps: []Step{{Count: -1}}}, false},
		"too many tasks":                      {Job{ID: "j", Steps: []Step{{Count: 2_000_000_000}}}, false},
		"too many tasks in total":             {Job{ID: "j", Steps: []Step{{Count: MaxTasks}, one}}, false},
		"too many tasks over all occurrences": {Job{ID: "j", Repeat: MaxTasks, Steps: []Step{one, one}}, false},
		"too many occurrences":                {Job{ID: "j", Repeat: 2_000_000_000, Steps: []Step{one}}, false},
		"negative occurrences":                {Job{ID: "j", Repeat: -1, Steps: []Step{one}}, false},
		"depends on itself":                   {Job{ID: "j", Steps: []Step{{Count: 1, After: []int{0}}}}, false},
		"depends on a later step":             {Job{ID: "j", Steps: []Step{{Count: 1, After: []int{1}}, one}}, false},
		"negative resources":                  {Job{ID: "j", Steps: []Step{{Count: 1, Need: Resources{CPU: -1}}}}, false},
		"resources that overflow a sum":       {Job{ID: "j", Steps: []Step{{Count: 1, Need: Resources{Mem: 1 << 62}}}}, false},
		"negative run time":                   {Job{ID: "j", Steps: []Step{{Count: 1, Estimate: -1}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.job.Validate()
			if c.ok {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrInvalid)
		})
	}
}

package keeper

import (
	"encoding/json"
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// Progress is the stored progress of a job's tasks.
type Progress struct {
	ID      w.JobID        `json:"-"`
	State   w.State        `json:"s,omitempty"`
	Started bool           `json:"b,omitempty"`
	Steps   []StepProgress `json:"t,omitempty"`
}

// StepProgress is the progress of a step in one occurrence of a job. Tasks without
// an entry have neither ended nor failed nor saved a checkpoint.
type StepProgress struct {
	Occurrence  int               `json:"o,omitempty"`
	Index       int               `json:"i,omitempty"`
	DoneBits    []byte            `json:"d,omitempty"` // one bit per task, set once it is done
	FailedRuns  map[int][]w.RunID `json:"f,omitempty"` // by task, each run listed once
	Checkpoints map[int]string    `json:"c,omitempty"`
	// CrashedRuns are the runs under which a target crashed, and UnclearRuns those that
	// were started although that was likely and whose fate is not known, by task.
	CrashedRuns map[int][]w.RunID `json:"x,omitempty"`
	UnclearRuns map[int][]w.RunID `json:"u,omitempty"`

	// Waiting are the tasks that don't run, so that no target has their checkpoints.
	Waiting map[int]bool `json:"-"`

	// First is the number of the step's first task among all tasks of the job, and Count
	// the number of its tasks. They decide in which row the progress is.
	First int `json:"-"`
	Count int `json:"-"`
}

// StepKey names a step of a job.
type StepKey struct{ Occurrence, Index int }

// Key returns the name of the step.
func (s *StepProgress) Key() StepKey { return StepKey{s.Occurrence, s.Index} }

// StepIndex returns the progress of all steps that have an entry.
func (p *Progress) StepIndex() map[StepKey]*StepProgress {
	index := make(map[StepKey]*StepProgress, len(p.Steps))
	for i := range p.Steps {
		index[p.Steps[i].Key()] = &p.Steps[i]
	}
	return index
}

// AddStep adds an empty entry for a step of count tasks, the first of which has the number
// first among all tasks of the job. It returns the entry.
func (p *Progress) AddStep(key StepKey, first, count int) *StepProgress {
	p.Steps = append(p.Steps, StepProgress{Occurrence: key.Occurrence, Index: key.Index, First: first, Count: count})
	return &p.Steps[len(p.Steps)-1]
}

// Done reports whether a task ended successfully.
func (s *StepProgress) Done(task int) bool {
	return task/8 < len(s.DoneBits) && s.DoneBits[task/8]&(1<<(task%8)) != 0
}

func (s *StepProgress) setDone(task int) {
	for task/8 >= len(s.DoneBits) {
		s.DoneBits = append(s.DoneBits, 0)
	}
	s.DoneBits[task/8] |= 1 << (task % 8)
}

// SetTask records the progress of a task. The failed runs and the checkpoint of a
// task that is done are not recorded.
func (s *StepProgress) SetTask(task int, done bool, failedRuns []w.RunID, checkpoint string) {
	if done {
		s.setDone(task)
		return
	}
	if len(failedRuns) > 0 {
		if s.FailedRuns == nil {
			s.FailedRuns = make(map[int][]w.RunID)
		}
		s.FailedRuns[task] = slices.Clone(failedRuns)
	}
	if checkpoint != "" {
		if s.Checkpoints == nil {
			s.Checkpoints = make(map[int]string)
		}
		s.Checkpoints[task] = checkpoint
	}
}

// SetWaiting records that a task doesn't run, so that its checkpoint is stored without
// delay.
func (s *StepProgress) SetWaiting(task int) {
	if s.Waiting == nil {
		s.Waiting = make(map[int]bool)
	}
	s.Waiting[task] = true
}

// SetCrashes records the runs of a task under which a target crashed or may have crashed.
func (s *StepProgress) SetCrashes(task int, crashed, unclear []w.RunID) {
	if len(crashed) > 0 {
		if s.CrashedRuns == nil {
			s.CrashedRuns = make(map[int][]w.RunID)
		}
		s.CrashedRuns[task] = slices.Clone(crashed)
	}
	if len(unclear) > 0 {
		if s.UnclearRuns == nil {
			s.UnclearRuns = make(map[int][]w.RunID)
		}
		s.UnclearRuns[task] = slices.Clone(unclear)
	}
}

func decodeProgress(r *Row) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return p, fmt.Errorf("keeper: decode progress of %s: %w", r.Name, err)
	}
	p.ID = w.JobID(r.Name)
	return p, nil
}

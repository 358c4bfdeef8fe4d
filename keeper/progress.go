package keeper

import (
	"encoding/json"
	"fmt"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// Progress is what is stored of a job's tasks.
type Progress struct {
	ID    w.JobID        `json:"-"`
	State w.State        `json:"s,omitempty"`
	Begun bool           `json:"b,omitempty"`
	Steps []StepProgress `json:"t,omitempty"`
}

// StepProgress is the progress of a step of one occurrence. Tasks without an
// entry have neither ended nor failed nor saved anything.
type StepProgress struct {
	Occurrence int               `json:"o,omitempty"`
	Index      int               `json:"i,omitempty"`
	Ended      []byte            `json:"d,omitempty"` // a bit for each task
	Failed     map[int][]w.RunID `json:"f,omitempty"` // failed runs of a task, each counted once
	Saved      map[int]string    `json:"c,omitempty"`
}

// Step returns the progress of a step, or nil.
func (p *Progress) Step(occurrence, index int) *StepProgress {
	for i := range p.Steps {
		if s := &p.Steps[i]; s.Occurrence == occurrence && s.Index == index {
			return s
		}
	}
	return nil
}

// AddStep adds an empty entry.
func (p *Progress) AddStep(occurrence, index int) *StepProgress {
	p.Steps = append(p.Steps, StepProgress{Occurrence: occurrence, Index: index})
	return &p.Steps[len(p.Steps)-1]
}

// Done reports whether a task has ended as done.
func (s *StepProgress) Done(i int) bool {
	return i/8 < len(s.Ended) && s.Ended[i/8]&(1<<(i%8)) != 0
}

// Set stores the progress of a task.
func (s *StepProgress) Set(i int, done bool, failed []w.RunID, saved string) {
	if done {
		for i/8 >= len(s.Ended) {
			s.Ended = append(s.Ended, 0)
		}
		s.Ended[i/8] |= 1 << (i % 8)
		return
	}
	if len(failed) > 0 {
		if s.Failed == nil {
			s.Failed = make(map[int][]w.RunID)
		}
		s.Failed[i] = slices.Clone(failed)
	}
	if saved != "" {
		if s.Saved == nil {
			s.Saved = make(map[int]string)
		}
		s.Saved[i] = saved
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

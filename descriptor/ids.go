package descriptor

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// InstanceID names an entry instance. It is unique among live processes.
type InstanceID string

// DataCentreID names a data centre.
type DataCentreID string

// CallerID names a caller. Together with a RequestID it identifies a request.
type CallerID string

// TeamID names a team of callers, which holds a quota and a weight.
type TeamID string

// RequestID is chosen by the caller and is unique for that caller.
type RequestID string

// TargetID names a target.
type TargetID string

// RackID names the rack of a target.
type RackID string

// KindName names a kind of work, such as routeBuild.
type KindName string

// TaskID identifies one task of one attempt at a target.
type TaskID string

// Epoch counts the owners of a slice. A higher epoch fences off lower ones.
type Epoch uint64

// Incarnation counts the starts of an instance under the same name.
type Incarnation uint64

// RulesVersion orders rule files. Versions start at 1; 0 means no rules.
type RulesVersion uint64

// Attempt counts the attempts to run a request, starting at 1.
type Attempt uint32

// SliceID numbers a slice of the targets and request keys of a data centre.
type SliceID uint16

// SliceCount is the number of slices of each data centre. It is fixed, because
// instances that disagree on it would disagree on owners.
const SliceCount = 64

// Key identifies a request across all instances and data centres.
type Key struct {
	Caller CallerID  `json:"caller"`
	ID     RequestID `json:"id"`
}

// String returns the key as caller/id.
func (k Key) String() string { return string(k.Caller) + "/" + string(k.ID) }

// Hash returns the xxHash64 of the key's string form.
func (k Key) Hash() uint64 { return xxhash.Sum64String(k.String()) }

// Slice returns the slice that the key belongs to.
func (k Key) Slice() SliceID { return SliceID(k.Hash() % SliceCount) }

// Slice returns the slice that the target belongs to.
func (t TargetID) Slice() SliceID { return SliceID(xxhash.Sum64String(string(t)) % SliceCount) }

// NewTaskID returns the id of task index of an attempt for key. The owner's
// epoch is part of it, so that attempts of two owners never share an id.
func NewTaskID(key Key, epoch Epoch, attempt Attempt, index int) TaskID {
	b := make([]byte, 0, len(key.Caller)+len(key.ID)+24)
	b = append(b, key.Caller...)
	b = append(b, '/')
	b = append(b, key.ID...)
	b = append(b, '#')
	b = strconv.AppendUint(b, uint64(epoch), 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(attempt), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(index), 10)
	return TaskID(b)
}

package descriptor

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// InstanceID identifies an instance. It is unique among running processes.
type InstanceID string

// DataCentreID identifies a data centre.
type DataCentreID string

// CallerID identifies a caller. Together with a RequestID it identifies a
// request.
type CallerID string

// TeamID identifies a team of callers, which has a quota and a weight.
type TeamID string

// RequestID is assigned by the caller and is unique per caller.
type RequestID string

// TargetID identifies a target.
type TargetID string

// RackID identifies the rack that a target is in.
type RackID string

// KindName is the name of a kind of work, such as routeBuild.
type KindName string

// TaskID identifies a single task of a single attempt on a target.
type TaskID string

// Epoch is the fencing token of a slice owner. It grows with each change of
// owner, and a higher epoch fences off lower ones.
type Epoch uint64

// Incarnation numbers the sessions of an instance under the same ID. A later
// session has a higher number.
type Incarnation uint64

// RulesVersion is the version of a rules file. Versions start at 1; 0 means that
// no rules are loaded.
type RulesVersion uint64

// Attempt is the number of an attempt to run a request, starting at 1.
type Attempt uint32

// SliceID is the number of a slice, which is a hash partition of the targets and
// request keys of a data centre.
type SliceID uint16

// SliceCount is the number of slices per data centre. It is a constant because
// instances with different counts would assign the same key to different owners.
const SliceCount = 64

// Key identifies a request globally, across all instances and data centres.
type Key struct {
	Caller CallerID  `json:"caller"`
	ID     RequestID `json:"id"`
}

// String returns the key in the form caller/id.
func (k Key) String() string { return string(k.Caller) + "/" + string(k.ID) }

// Hash returns the xxHash64 of the key's string form.
func (k Key) Hash() uint64 { return xxhash.Sum64String(k.String()) }

// Slice returns the slice to which the key hashes.
func (k Key) Slice() SliceID { return SliceID(k.Hash() % SliceCount) }

// Slice returns the slice to which the target ID hashes.
func (t TargetID) Slice() SliceID { return SliceID(xxhash.Sum64String(string(t)) % SliceCount) }

// NewTaskID returns the ID of the task with the given index in an attempt to run
// the request key. The ID includes the owner's epoch, so that attempts of
// different owners never share an ID.
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

package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

var (
	leaderKey  = Key{Table: TableControl, Name: leaderName}
	saveSeqKey = Key{Table: tableSaves, Name: leaderName}
	// heartbeatKey is in the partition of leaderKey, so that a takeover writes both
	// rows in a transaction of one partition.
	heartbeatKey = Key{Table: tableHeartbeats, Name: heartbeatName}
)

// tableSaves is separate from TableControl, which all instances watch.
const tableSaves = "saves"

// Leadership is the leader row, which names the instance that leads the cell.
type Leadership struct {
	Epoch    w.Epoch      `json:"epoch"`
	Instance w.InstanceID `json:"instance"`
	Address  string       `json:"address"`
	Zone     string       `json:"zone"`
	// FailedLoads is the number of consecutive leaders before this one that were
	// replaced before they had loaded the cell. Takeovers are damped by it.
	FailedLoads int `json:"failedLoads,omitempty"`
	// Instances is the number of instances of the cell as known at the takeover.
	Instances int     `json:"instances,omitempty"`
	MaxCores  float64 `json:"-"` // for the first heartbeat, see Heartbeat.MaxCores
	Version   Version `json:"-"`

	saveSeqVersion     Version                // version of the row with the save sequence number
	saveSeq            int64                  // sequence number of the last save
	saveOutcomeUnknown bool                   // the last save may or may not have been applied
	chunks             map[w.JobID]*jobChunks // progress that is not in the rows of TableProgress
	rosterChunks       rosterHashes           // chunks of the roster that are in the store
	saves              int                    // number of calls of Save
	refused            map[Key]refusal        // rows that the store refused when they were written last
}

// InitSaves prepares a leader that has loaded the cell for saving.
func (l *Leadership) InitSaves(s *Snapshot) {
	l.saveSeqVersion, l.chunks, l.rosterChunks = s.saveSeqVersion, s.chunks, s.rosterChunks
}

// Leader reads the leader row. It returns a zero Leadership if the cell has had no
// leader yet.
func (k *Keeper) Leader(ctx context.Context) (Leadership, error) {
	l, _, err := k.LeaderToWatch(ctx)
	return l, err
}

// LeaderToWatch is like Leader, but also returns the version of the store from which
// WatchLeader can go on. The history since the row's own version may be gone.
func (k *Keeper) LeaderToWatch(ctx context.Context) (Leadership, Version, error) {
	rows, version, err := k.Store.Scan(ctx, leaderKey.Table, leaderKey.Partition, leaderKey.Name, leaderKey.Name+"\x00")
	if err != nil {
		return Leadership{}, 0, fmt.Errorf("keeper: read leader: %w", err)
	}
	var row *Row
	if len(rows) > 0 {
		row = &rows[0]
	}
	l, err := k.leaderOf(ctx, row)
	return l, version, err
}

// leaderOf returns the leadership in a leader row. If the row can't be decoded, it returns
// one of the epoch of the last heartbeat that names no instance, so that the next leader
// can replace the row.
func (k *Keeper) leaderOf(ctx context.Context, row *Row) (Leadership, error) {
	l, err := decodeLeader(row)
	if err == nil {
		return l, nil
	}
	heartbeat, readErr := k.Heartbeat(ctx)
	if readErr != nil || heartbeat.Epoch == 0 {
		return Leadership{}, errors.Join(err, readErr)
	}
	return Leadership{Epoch: heartbeat.Epoch, Version: row.Version}, nil
}

// maxEpoch is the highest epoch whose run IDs don't overflow.
const maxEpoch = 1 << 36

var errLeaderOutOfRange = errors.New("keeper: epoch or number of instances of the leader row out of range")

func decodeLeader(row *Row) (Leadership, error) {
	var l Leadership
	if row == nil {
		return l, nil
	}
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return Leadership{}, fmt.Errorf("keeper: decode leader: %w", err)
	}
	if l.Epoch <= 0 || l.Epoch > maxEpoch || l.Instances > maxInstances {
		return Leadership{}, errLeaderOutOfRange
	}
	l.Version = row.Version
	return l, nil
}

// TakeOver replaces old, the leadership that was read last, with next in the
// following epoch, and writes the first heartbeat of that epoch. It returns a
// ConflictError if another instance took over first; see LeaderOfConflict.
func (k *Keeper) TakeOver(ctx context.Context, old, next Leadership) (Leadership, error) {
	next.Epoch = old.Epoch + 1
	value, err := json.Marshal(&next)
	if err != nil {
		return next, fmt.Errorf("keeper: encode leader: %w", err)
	}
	beat, err := k.encodeHeartbeat(&Heartbeat{Epoch: next.Epoch, Loading: true, Instances: next.Instances, MaxCores: next.MaxCores})
	if err != nil {
		return next, err
	}
	ver, err := k.urgent().Commit(ctx, &Tx{
		Preconditions: []Precondition{{Key: leaderKey, Version: old.Version}},
		Writes:        []Row{{Key: leaderKey, Value: value}, {Key: heartbeatKey, Value: beat}},
	})
	if err != nil {
		return next, fmt.Errorf("keeper: take over from epoch %d: %w", old.Epoch, err)
	}
	next.Version = ver
	return next, nil
}

// LeaderOfConflict returns the leader row in the error of a failed takeover, so that
// an instance that lost a takeover needs no further read. It reports false if the
// error does not contain the row.
func LeaderOfConflict(err error) (Leadership, bool) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return Leadership{}, false
	}
	for i := range conflict.Rows {
		if conflict.Rows[i].Key == leaderKey {
			l, err := decodeLeader(&conflict.Rows[i])
			return l, err == nil
		}
	}
	return Leadership{}, false
}

// WatchLeader waits up to wait for a new leader. It returns nil if there is none.
func (k *Keeper) WatchLeader(ctx context.Context, after Version, wait time.Duration) (*Leadership, Version, error) {
	rows, ver, err := k.Store.Changes(ctx, TableControl, after, wait)
	if err != nil {
		return nil, after, fmt.Errorf("keeper: watch leader: %w", err)
	}
	for i := range rows {
		if rows[i].Key == leaderKey && !rows[i].Deleted {
			l, err := k.leaderOf(ctx, &rows[i])
			if err != nil {
				return nil, after, err
			}
			return &l, ver, nil
		}
	}
	return nil, ver, nil
}

const (
	tableHeartbeats = "beats"
	heartbeatName   = "leader"
)

// Heartbeat is the row by which a leader shows that it is alive.
type Heartbeat struct {
	Epoch    w.Epoch `json:"epoch"`
	Members  int     `json:"members"` // other instances connected to the leader
	MaxCores float64 `json:"best"`    // most cores of any connected instance or the leader itself
	SentAtMs int64   `json:"at"`      // time on the store's clock when the heartbeat was sent
	// Loading is set while the leader has not loaded the cell. Leaders of earlier
	// versions do not set it.
	Loading bool `json:"loading,omitempty"`
	// Progress grows while the leader loads. Its unit has no meaning.
	Progress int64 `json:"progress,omitempty"`
	// Instances is the number of instances of the cell as known at the takeover.
	// Members takes its place once the leader has loaded.
	Instances int     `json:"instances,omitempty"`
	Version   Version `json:"-"`
}

// UnreachableReport is the row by which an instance reports that it cannot reach
// the leader.
type UnreachableReport struct {
	Instance w.InstanceID `json:"-"`
	Epoch    w.Epoch      `json:"epoch"`
	Version  Version      `json:"-"`
	// Joins is set if the leader accepts the instance but its connections keep ending, so
	// that the leader may count it as a member.
	Joins bool `json:"joins,omitempty"`
}

func (k *Keeper) encodeHeartbeat(heartbeat *Heartbeat) ([]byte, error) {
	heartbeat.SentAtMs = k.Store.Clock().Milliseconds()
	value, err := json.Marshal(heartbeat)
	if err != nil {
		return nil, fmt.Errorf("keeper: encode heartbeat: %w", err)
	}
	return value, nil
}

// Renew writes the heartbeat of a leader that has loaded the cell. It returns a
// ConflictError if another leader took over.
func (k *Keeper) Renew(ctx context.Context, leadership *Leadership, members int, maxCores float64) error {
	return k.renew(ctx, leadership, &Heartbeat{Members: members, MaxCores: maxCores})
}

// RenewLoading writes the heartbeat of a leader that is loading the cell. It returns
// a ConflictError if another leader took over.
func (k *Keeper) RenewLoading(ctx context.Context, leadership *Leadership, progress int64, maxCores float64) error {
	return k.renew(ctx, leadership, &Heartbeat{MaxCores: maxCores, Loading: true, Progress: progress, Instances: leadership.Instances})
}

func (k *Keeper) renew(ctx context.Context, leadership *Leadership, heartbeat *Heartbeat) error {
	heartbeat.Epoch = leadership.Epoch
	value, err := k.encodeHeartbeat(heartbeat)
	if err != nil {
		return err
	}
	if _, err := k.urgent().Commit(ctx, &Tx{
		Preconditions: []Precondition{{Key: leaderKey, Version: leadership.Version}},
		Writes:        []Row{{Key: heartbeatKey, Value: value}},
	}); err != nil {
		return fmt.Errorf("keeper: renew leadership in epoch %d: %w", leadership.Epoch, err)
	}
	return nil
}

// ReportUnreachable writes the unreachable report of the instance with the given name.
func (k *Keeper) ReportUnreachable(ctx context.Context, name string, report UnreachableReport) error {
	value, err := json.Marshal(&report)
	if err != nil {
		return fmt.Errorf("keeper: encode unreachable report: %w", err)
	}
	key := Key{Table: tableHeartbeats, Name: "lost/" + name}
	if _, err := k.Store.Commit(ctx, &Tx{Writes: []Row{{Key: key, Value: value}}}); err != nil {
		return fmt.Errorf("keeper: write unreachable report about the leader of epoch %d: %w", report.Epoch, err)
	}
	return nil
}

// HeartbeatAge returns the time since a heartbeat was sent, by the store's clock.
func (k *Keeper) HeartbeatAge(heartbeat Heartbeat) time.Duration {
	return k.Store.Clock() - time.Duration(heartbeat.SentAtMs)*time.Millisecond
}

// Heartbeat reads the leader's heartbeat alone. In a large cell, it is a small
// fraction of what LeaderHealth reads.
func (k *Keeper) Heartbeat(ctx context.Context) (Heartbeat, error) {
	var heartbeat Heartbeat
	row, err := k.get(ctx, heartbeatKey)
	if err != nil {
		return heartbeat, fmt.Errorf("keeper: read heartbeat: %w", err)
	}
	if row == nil {
		return heartbeat, nil
	}
	return decodeHeartbeat(row), nil
}

const (
	// maxInstances bounds the number of instances in a row, from which the periods of
	// reads and reports follow.
	maxInstances = 10_000
	// maxSentAtMs is about 139 years, whatever the store's clock counts from.
	maxSentAtMs = 1 << 42
)

// decodeHeartbeat decodes the heartbeat row. One that can't be decoded counts as written
// in epoch 0, so that its leader can be replaced.
func decodeHeartbeat(row *Row) Heartbeat {
	var h Heartbeat
	err := json.Unmarshal(row.Value, &h)
	if err != nil || h.Epoch < 0 || h.Epoch > maxEpoch || max(h.Members, h.Instances) > maxInstances || h.SentAtMs < 0 || h.SentAtMs > maxSentAtMs {
		h = Heartbeat{}
	}
	h.Version = row.Version
	return h
}

// LeaderHealth reads the leader's heartbeat and the unreachable reports.
func (k *Keeper) LeaderHealth(ctx context.Context) (Heartbeat, []UnreachableReport, error) {
	var heartbeat Heartbeat
	rows, _, err := k.Store.Scan(ctx, tableHeartbeats, "", "", "")
	if err != nil {
		return heartbeat, nil, fmt.Errorf("keeper: read heartbeat: %w", err)
	}
	var reports []UnreachableReport
	for i := range rows {
		r := &rows[i]
		if r.Name == heartbeatName {
			heartbeat = decodeHeartbeat(r)
			continue
		}
		report := UnreachableReport{Instance: w.InstanceID(r.Name), Version: r.Version}
		// A row that can't be decoded reports nothing.
		if json.Unmarshal(r.Value, &report) == nil {
			reports = append(reports, report)
		}
	}
	return heartbeat, reports, nil
}

package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

var (
	leaderKey = Key{Table: TableControl, Name: leaderName}
	saveKey   = Key{Table: tableSaves, Name: leaderName}
)

// tableSaves is apart from the table that all instances watch.
const tableSaves = "saves"

// Leadership is the row that names the coordinator of the cell.
type Leadership struct {
	Epoch    w.Epoch      `json:"epoch"`
	Instance w.InstanceID `json:"instance"`
	Address  string       `json:"address"`
	Zone     string       `json:"zone"`
	Version  Version      `json:"-"`

	saved  Version // of the row that numbers the saves
	number int64   // of the last save
	unsure bool    // the last save got no answer
}

// Resume lets a leader save after it has loaded the cell.
func (l *Leadership) Resume(s *Snapshot) { l.saved = s.saved }

// Leader reads the row. The leadership is empty if there was none yet.
func (k *Keeper) Leader(ctx context.Context) (Leadership, error) {
	row, err := k.get(ctx, leaderKey)
	if err != nil {
		return Leadership{}, fmt.Errorf("keeper: read leader: %w", err)
	}
	return decodeLeader(row)
}

func decodeLeader(row *Row) (Leadership, error) {
	var l Leadership
	if row == nil {
		return l, nil
	}
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return l, fmt.Errorf("keeper: decode leader: %w", err)
	}
	l.Version = row.Version
	return l, nil
}

// TakeOver replaces the leadership that was read last. It returns a Conflict if
// another instance was faster.
func (k *Keeper) TakeOver(ctx context.Context, old, next Leadership) (Leadership, error) {
	next.Epoch = old.Epoch + 1
	value, err := json.Marshal(&next)
	if err != nil {
		return next, fmt.Errorf("keeper: encode leader: %w", err)
	}
	ver, err := k.Store.Commit(ctx, &Tx{
		Checks: []Check{{Key: leaderKey, Version: old.Version}},
		Writes: []Row{{Key: leaderKey, Value: value}},
	})
	if err != nil {
		return next, fmt.Errorf("keeper: take over from epoch %d: %w", old.Epoch, err)
	}
	next.Version = ver
	return next, nil
}

// LeaderChanges waits for a new leader.
func (k *Keeper) LeaderChanges(ctx context.Context, after Version, wait time.Duration) (*Leadership, Version, error) {
	rows, ver, err := k.Store.Changes(ctx, TableControl, after, wait)
	if err != nil {
		return nil, after, fmt.Errorf("keeper: changes of the leader: %w", err)
	}
	for i := range rows {
		if rows[i].Key == leaderKey && !rows[i].Deleted {
			l, err := decodeLeader(&rows[i])
			if err != nil {
				return nil, after, err
			}
			return &l, ver, nil
		}
	}
	return nil, ver, nil
}

const (
	tableBeats = "beats"
	beatName   = "leader"
)

// Beat is the row by which a leader shows that it is at work.
type Beat struct {
	Epoch   w.Epoch `json:"epoch"`
	Members int     `json:"members"` // other instances connected to the leader
	Best    float64 `json:"best"`    // most cores of an instance that is connected, or of the leader
	At      int64   `json:"at"`      // time of the store's clock when the beat was sent, ms
	Version Version `json:"-"`
}

// Complaint is the row of an instance that can't reach the leader.
type Complaint struct {
	Instance w.InstanceID `json:"-"`
	Epoch    w.Epoch      `json:"epoch"`
	Version  Version      `json:"-"`
}

// Renew writes the beat of a leader. It returns a Conflict if another leader
// took over.
func (k *Keeper) Renew(ctx context.Context, lead *Leadership, members int, best float64) error {
	value, err := json.Marshal(&Beat{Epoch: lead.Epoch, Members: members, Best: best, At: k.Store.Clock().Milliseconds()})
	if err != nil {
		return fmt.Errorf("keeper: encode beat: %w", err)
	}
	if _, err := k.Store.Commit(ctx, &Tx{
		Checks: []Check{{Key: leaderKey, Version: lead.Version}},
		Writes: []Row{{Key: Key{Table: tableBeats, Name: beatName}, Value: value}},
	}); err != nil {
		return fmt.Errorf("keeper: renew epoch %d: %w", lead.Epoch, err)
	}
	return nil
}

// Complain writes that an instance can't reach the leader of an epoch.
func (k *Keeper) Complain(ctx context.Context, name string, epoch w.Epoch) error {
	value, err := json.Marshal(&Complaint{Epoch: epoch})
	if err != nil {
		return fmt.Errorf("keeper: encode complaint: %w", err)
	}
	key := Key{Table: tableBeats, Name: "lost/" + name}
	if _, err := k.Store.Commit(ctx, &Tx{Writes: []Row{{Key: key, Value: value}}}); err != nil {
		return fmt.Errorf("keeper: complain of epoch %d: %w", epoch, err)
	}
	return nil
}

// Age returns the time since the beat was sent.
func (k *Keeper) Age(b Beat) time.Duration {
	return k.Store.Clock() - time.Duration(b.At)*time.Millisecond
}

// Beats reads the beat and the complaints.
func (k *Keeper) Beats(ctx context.Context) (Beat, []Complaint, error) {
	var beat Beat
	rows, _, err := k.Store.Scan(ctx, tableBeats, "", "", "")
	if err != nil {
		return beat, nil, fmt.Errorf("keeper: read beats: %w", err)
	}
	var list []Complaint
	for i := range rows {
		r := &rows[i]
		if r.Name == beatName {
			if err := json.Unmarshal(r.Value, &beat); err != nil {
				return beat, nil, fmt.Errorf("keeper: decode beat: %w", err)
			}
			beat.Version = r.Version
			continue
		}
		c := Complaint{Instance: w.InstanceID(r.Name), Version: r.Version}
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return beat, nil, fmt.Errorf("keeper: decode complaint %s: %w", r.Name, err)
		}
		list = append(list, c)
	}
	return beat, list, nil
}

package coordinator

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"testing"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// FuzzRows guards against store rows, written by another version or corrupted, that
// crash every leader which loads them.
func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"q":"q","v":"s","t":[{"n":2,"r":{"c":1000}},{"n":1,"a":[0],"g":true}]}`), []byte(`{"b":true,"t":[{"d":"AQ==","f":{"0":[7]},"c":{"1":"x"}}]}`))
	f.Add([]byte(`{"q":"q","t":[{"n":1}],"n":3,"i":1}`), []byte(`{"s":3,"t":[{"o":9,"i":9,"d":"////"}]}`))
	f.Fuzz(func(t *testing.T, row, progress []byte) {
		j := w.Job{}
		if json.Unmarshal(row, &j) != nil {
			return
		}
		j.ID = "id"
		var p keeper.Progress
		if j.Validate() != nil || json.Unmarshal(progress, &p) != nil {
			return
		}
		p.ID = j.ID
		x := newCell(t, 2, 2, &keeper.Snapshot{
			Jobs: []w.Job{j}, Progress: map[w.JobID]keeper.Progress{j.ID: p},
			Roster: keeper.Roster{Open: []w.TargetID{"a"}, Closed: map[w.TargetID][]string{"z": {"", "id.0.0"}}},
		})
		x.reportRuns("a", w.Run{Task: w.TaskID{Job: "id", Occurrence: 3, Step: 4, Index: 5}, Run: 9}, w.Run{Task: w.TaskID{Job: "id"}, Run: 3})
		x.reportRuns("b")
		for range 4 {
			for _, s := range x.advance(300 * time.Millisecond).Starts {
				x.confirmStart(s)
				x.reportEnd(s.Target, s, w.EndedDone)
			}
		}
	})
}

// FuzzFrame guards against frames that crash the leader, sent by an instance of another
// version or by a faulty one.
func FuzzFrame(f *testing.F) {
	task := w.TaskID{Job: "j"}
	for _, fr := range []linker.Frame{
		{Jobs: []w.Job{{ID: "j", Queue: testQueue, Steps: []w.Step{{Count: 1}}}}, Cancels: []w.JobID{"j"}},
		{Results: []linker.Result{{Target: "a", Task: task, Run: 1 << 26, Outcome: linker.InvalidTicket}}},
		{Reports: []linker.Report{{Target: "a", Incarnation: 1, Complete: true, Runs: []w.Run{{Task: task, Run: 5}}, Ends: []w.End{{Seq: 1, Task: task, Run: 5, How: w.EndedFailed}}}}},
		{Advice: []linker.Advice{{ID: 1, Good: []w.TargetID{"a", "b"}, Tickets: []string{"x"}}}},
		{Status: &linker.Status{Leaving: true}, Ended: []linker.JobState{{Job: "j", State: w.Completed}}},
	} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(&fr); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fr := new(linker.Frame)
		if gob.NewDecoder(bytes.NewReader(data)).Decode(fr) != nil {
			return
		}
		x := newAdvisedCell(t, 3)
		x.submit(singleTaskJob("j"))
		x.submit(w.Job{ID: "gang", Queue: "urgent", Attempts: 2, Steps: []w.Step{{Count: 2, Gang: true, Need: w.Resources{CPU: 8000}}}})
		x.nextOrders(0)
		for range 3 {
			x.receive(fr)
			x.nextOrders(100 * time.Millisecond)
		}
	})
}

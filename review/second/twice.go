package main

import (
	"fmt"
	"time"
)

func init() {
	plays["acked-ends"] = ackedEnds
	plays["foreign-entry"] = foreignEntry
}

// ackedEnds: a job of three steps of 60 tasks, which all run at the same time and whose
// checkpoints have 400 bytes. The first 12 tasks end, and their ends are taken note of. Then
// the process of the leader is killed, and started again.
func ackedEnds(rec *record, trouble bool) (bool, error) {
	const (
		steps = 3
		tasks = 60
		short = 12
	)
	c, err := newCell(rec, 16, 6, []map[string]any{route("r-batch", "/batch/", 2)}, nil)
	if err != nil {
		return false, err
	}
	defer c.close()
	id := newID()
	var list []map[string]any
	var does []behaviour
	for i := range steps {
		list = append(list, map[string]any{"count": tasks, "cpu": 1000, "memMb": 512, "estRuntimeMs": 24000, "checkpointing": true})
		b := behaviour{work: 24 * time.Second, checkpointing: true, checkpointSize: 400, cpu: 1000, mem: 512}
		if i == 0 {
			b.short, b.shortWork = short, 4*time.Second
		}
		does = append(does, b)
	}
	if err := c.submit("/batch/", id, list, does); err != nil {
		return false, err
	}
	if err := await("the ends of the short tasks are taken note of", 20*time.Second, func() bool { return c.watch.ackedDone(id) >= short }); err != nil {
		return false, err
	}
	rec.sayf("the ends of %d tasks are taken note of", short)
	time.Sleep(2 * time.Second)
	if trouble {
		l := c.leader()
		if l == nil {
			return false, fmt.Errorf("no leader is known")
		}
		l.kill()
		time.Sleep(500 * time.Millisecond)
		if err := l.start(); err != nil {
			return false, err
		}
	}
	c.awaitCompleted("/batch/", id, 60*time.Second)
	return len(c.watch.broke("TWICE")) > 0, nil
}

// awaitCompleted waits until a job is shown as completed, and records how often its tasks were
// started.
func (c *cell) awaitCompleted(prefix, id string, limit time.Duration) {
	state := ""
	for deadline := time.Now().Add(limit); state != "completed" && time.Now().Before(deadline); {
		time.Sleep(500 * time.Millisecond)
		state = c.state(prefix, id)
	}
	c.watch.mu.Lock()
	starts, tasks := c.watch.starts, len(c.watch.tasks)
	c.watch.mu.Unlock()
	c.rec.sayf("the job is shown as %s; %d starts of %d tasks", state, starts, tasks)
}

// foreignEntry: another writer leaves an entry of a service that no configuration names under
// the id of a worker that is at work. The worker's next report replaces the entry.
func foreignEntry(rec *record, trouble bool) (bool, error) {
	const tasks = 32
	c, err := newCell(rec, 16, 6, []map[string]any{route("r-batch", "/batch/", 2)}, nil)
	if err != nil {
		return false, err
	}
	defer c.close()
	id := newID()
	step := map[string]any{"count": tasks, "cpu": 4000, "memMb": 1024, "estRuntimeMs": 20000}
	if err := c.submit("/batch/", id, []map[string]any{step}, []behaviour{{work: 20 * time.Second, cpu: 4000, mem: 1024}}); err != nil {
		return false, err
	}
	if err := await("all tasks run", 15*time.Second, func() bool { return c.allRun(id, tasks) }); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w := c.workerOf(id + ".0.0.0")
		if w == nil {
			return false, fmt.Errorf("the first task does not run")
		}
		c.store.put("servers", w.id, map[string]any{
			"service": "other-pool", "address": "127.0.0.1:9", "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": 16000, "memMb": 65536, "gpu": 0}, "labels": []string{"a", "r1-0"}, "machine": "m-other",
			"born": time.Now().UnixMilli(), "clockMs": 1000, "seqNo": 1,
		})
		rec.sayf("another writer leaves an entry of service other-pool under %s", w.id)
	}
	c.awaitCompleted("/batch/", id, 50*time.Second)
	return len(c.watch.broke("TWICE")) > 0, nil
}

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

// TestLongCheckpointsLoseNoEnds guards against ends that are acknowledged although the row
// with them was refused for the size of checkpoints: the next leader runs the tasks again.
func TestLongCheckpointsLoseNoEnds(t *testing.T) {
	for _, c := range []struct{ size, tasks int }{{400, 180}, {20_000, 36}, {70_000, 36}} {
		t.Run(fmt.Sprintf("%d tasks, %d bytes", c.tasks, c.size), func(t *testing.T) { killLeaderAfterAcks(t, c.size, c.tasks) })
	}
}

// killLeaderAfterAcks kills the leader once the ends of the first tasks of a job are
// acknowledged, while the others run and produce checkpoints of a size.
func killLeaderAfterAcks(t *testing.T, size, tasks int) {
	const (
		targets, short   = 16, 12
		shortWork        = 2500 * time.Millisecond
		longWork         = 8 * time.Second
		steps            = 3
		acknowledgeLimit = 10 * time.Second
	)
	sim, err := standin.StartPlatform(targets, func(_ int, target *standin.Target) {
		target.CPU, target.TaskCPU, target.Saves, target.CheckpointSize = 12*taskCPU, func(string) int64 { return taskCPU }, true, size
		target.Run = func(task string, _ int64) (time.Duration, bool) {
			var index int
			if parts := strings.Split(task, "."); parts[2] == "0" {
				_, err := fmt.Sscan(parts[3], &index)
				if err == nil && index < short {
					return shortWork, false
				}
			}
			return longWork, false
		}
	})
	require.NoError(t, err)
	defer sim.Close()
	bin := buildBinary(t)
	processes := newProcesses(t, sim, instanceCount, bin, bin)
	for _, p := range processes {
		p.start()
	}
	time.Sleep(2 * time.Second)

	id := fmt.Sprintf("%016x", rand.Uint64())
	var list []map[string]any
	for range steps {
		list = append(list, map[string]any{"count": tasks / steps, "cpu": taskCPU, "memMb": taskMemMb, "estRuntimeMs": 7000, "checkpointing": true})
	}
	body, err := json.Marshal(map[string]any{"spec": "s", "steps": list})
	require.NoError(t, err)
	sim.Checker.RecordSubmission(id, "s")
	status, _ := sendRequest(http.MethodPost, processes[0], id, credential{}, body)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return sim.Checker.Acked(id) >= short }, acknowledgeLimit, 20*time.Millisecond, "ends are acknowledged")

	restartLeader(t, sim, processes)
	requireJobsEnd(t, sim, processes, []acceptedJob{{id: id}})
	require.Equal(t, tasks, sim.Checker.Starts, "no task runs again")
}

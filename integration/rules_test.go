package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// rulesInfo is the version and author of rules as an instance reports them.
type rulesInfo struct {
	Version descriptor.RulesVersion `json:"version"`
	Author  string                  `json:"author"`
}

// putRules attempts one rule change. It returns the version v of the new rules or, if
// there was a conflict, the current version.
func (c *cell) putRules(in *instance, author string, expected descriptor.RulesVersion, body string) (v, current descriptor.RulesVersion, err error) {
	u := fmt.Sprintf("%s/v1/rules?expectedVersion=%d&author=%s", in.url, expected, url.QueryEscape(author))
	r, err := http.NewRequest(http.MethodPut, u, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var info rulesInfo
		err = json.Unmarshal(b, &info)
		return info.Version, 0, err
	case http.StatusConflict:
		var conflict struct {
			Current rulesInfo `json:"current"`
		}
		err = json.Unmarshal(b, &conflict)
		return 0, conflict.Current.Version, err
	}
	return 0, 0, fmt.Errorf("unexpected status %d: %.200s", resp.StatusCode, b)
}

// versionWatcher polls the instances for their rules versions, and checks that the
// versions they report never decrease.
type versionWatcher struct {
	c    *cell
	t    *testing.T
	stop chan struct{}
	wg   sync.WaitGroup

	mu           sync.Mutex
	highest      map[*instance]descriptor.RulesVersion
	peerVersions map[peerView]descriptor.RulesVersion
	restarts     map[*instance]int
	polls        int // number of versions that instances reported of themselves
}

// peerView identifies the view that one process of the observer has of another
// instance, the peer. A restarted process is a new observer: it gets the peer's
// version from other instances, which may report different, older versions.
type peerView struct {
	observer         *instance
	observerRestarts int
	peer             descriptor.InstanceID
}

// watchVersions starts polling all instances.
func (c *cell) watchVersions() *versionWatcher {
	w := &versionWatcher{
		c: c, t: c.t, stop: make(chan struct{}),
		highest: map[*instance]descriptor.RulesVersion{}, peerVersions: map[peerView]descriptor.RulesVersion{}, restarts: map[*instance]int{},
	}
	for _, in := range c.instances {
		w.wg.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(100 * time.Millisecond):
					w.poll(in)
				}
			}
		})
	}
	return w
}

// poll reads from an instance the version of its rules, and the versions of all
// instances as it knows them. An instance that has no rules yet, as after a restart,
// reports version 0.
func (w *versionWatcher) poll(in *instance) {
	var info rulesInfo
	if err := w.c.getJSON(in.url+"/v1/rules", &info); err == nil {
		w.recordVersion(in, info.Version, "/v1/rules")
	}
	var status struct {
		Instances []struct {
			Instance descriptor.InstanceID   `json:"instance"`
			Version  descriptor.RulesVersion `json:"version"`
		} `json:"instances"`
	}
	restarts := w.restartsOf(in)
	if err := w.c.getJSON(in.url+"/v1/rules/status", &status); err != nil {
		return
	}
	for _, s := range status.Instances {
		if s.Instance == in.id {
			w.recordVersion(in, s.Version, "/v1/rules/status")
			continue
		}
		w.recordPeerVersion(peerView{in, restarts, s.Instance}, s.Version)
	}
}

// recordVersion records a version that an instance reports of itself, and checks that
// it isn't older than one recorded before.
func (w *versionWatcher) recordVersion(in *instance, v descriptor.RulesVersion, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if v != 0 && v < w.highest[in] {
		w.t.Errorf("P8: %s reports version %d at %s after version %d", in.id, v, path, w.highest[in])
	}
	w.highest[in] = max(w.highest[in], v)
}

// recordPeerVersion records a version that an instance reports of another. It may lag
// behind the actual version, but must not decrease.
func (w *versionWatcher) recordPeerVersion(v peerView, version descriptor.RulesVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version != 0 && version < w.peerVersions[v] {
		w.t.Errorf("P8: %s reports version %d of %s after version %d", v.observer.id, version, v.peer, w.peerVersions[v])
	}
	w.peerVersions[v] = max(w.peerVersions[v], version)
}

// restartsOf returns how often the instance has been restarted.
func (w *versionWatcher) restartsOf(in *instance) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.restarts[in]
}

// restart kills an instance, starts it again and waits until it is ready.
func (w *versionWatcher) restart(in *instance) {
	in.kill()
	w.mu.Lock()
	w.restarts[in]++
	w.mu.Unlock()
	w.c.startInstance(in)
	w.c.waitReady(in)
}

// highestOf returns the highest version that the instance has reported of itself.
func (w *versionWatcher) highestOf(in *instance) descriptor.RulesVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest[in]
}

// TestOperatorsRace guards against an accepted rule change that is lost or reverted
// when two operators change rules concurrently while a data centre is disconnected,
// and against an instance that starts without rules in that data centre (property
// P8 of docs/design.md).
func TestOperatorsRace(t *testing.T) {
	c := newCell(t, defaultLayout(), testRules)
	w := c.watchVersions()
	const changes = 25 // per operator
	accepted := make([]map[descriptor.RulesVersion]bool, 2)
	conflicts := make([]int, 2)
	halfway := make(chan struct{}, 2)
	var operators sync.WaitGroup
	for o := range 2 {
		accepted[o] = map[descriptor.RulesVersion]bool{}
		instances := c.instancesIn([]zone{"sopron", "szombathely"}[o])
		author := fmt.Sprintf("operator-%d", o)
		operators.Go(func() {
			expected := descriptor.RulesVersion(1)
			for i := 0; i < changes; {
				v, current, err := c.putRules(instances[i%len(instances)], author, expected, testRules+fmt.Sprintf("weigh crest value=%d # asked by %s: change %d\n", i+1, author, i))
				switch {
				case err != nil:
					time.Sleep(100 * time.Millisecond)
				case v != 0:
					accepted[o][v] = true
					expected = v
					i++
				default:
					conflicts[o]++
					expected = current
				}
				if i == changes/2 && v != 0 {
					halfway <- struct{}{}
				}
			}
		})
	}
	<-halfway
	isolated := c.instancesIn("gyor")
	remote := []zone{"sopron", "szombathely", platformZone}
	for _, z := range remote {
		c.network.disconnect("gyor", z)
	}
	time.Sleep(500 * time.Millisecond) // lets polls in progress finish
	keptVersion := w.highestOf(isolated[0])
	for _, in := range isolated {
		keptVersion = max(keptVersion, w.highestOf(in))
	}
	operators.Wait()
	// An instance that starts in the disconnected data centre gets the rules from its
	// peers there.
	w.restart(isolated[1])
	time.Sleep(2 * time.Second)
	for _, in := range isolated {
		var info rulesInfo
		require.NoError(t, c.getJSON(in.url+"/v1/rules", &info))
		require.Equal(t, keptVersion, info.Version, "rules version of %s in the disconnected data centre", in.id)
	}
	for _, z := range remote {
		c.network.heal("gyor", z)
	}

	finalVersion := descriptor.RulesVersion(1 + 2*changes)
	for _, in := range c.instances {
		c.eventually(fmt.Sprintf("%s has version %d", in.id, finalVersion), func() error {
			var info rulesInfo
			if err := c.getJSON(in.url+"/v1/rules", &info); err != nil {
				return err
			}
			if info.Version != finalVersion {
				return fmt.Errorf("rules version is %d", info.Version)
			}
			return nil
		})
	}
	close(w.stop)
	w.wg.Wait()
	c.requireHistory(t, accepted)
	require.Less(t, keptVersion, finalVersion, "no rule change was accepted while the data centre was disconnected")
	t.Logf("versions 1 to %d, conflicts %v, the cut-off data centre kept version %d, %d polls", finalVersion, conflicts, keptVersion, w.polls)
}

// requireHistory checks that the history contains each accepted version exactly once
// and with its author.
func (c *cell) requireHistory(t *testing.T, accepted []map[descriptor.RulesVersion]bool) {
	t.Helper()
	var history struct {
		Versions []rulesInfo `json:"versions"`
	}
	require.NoError(t, c.getJSON(c.instances[0].url+"/v1/rules/history?limit=1000", &history))
	authors := map[descriptor.RulesVersion]string{}
	for _, v := range history.Versions {
		require.NotContains(t, authors, v.Version, "duplicate version in the history")
		authors[v.Version] = v.Author
	}
	for o, versions := range accepted {
		for v := range versions {
			require.Equal(t, fmt.Sprintf("operator-%d", o), authors[v], "author of version %d", v)
		}
	}
}

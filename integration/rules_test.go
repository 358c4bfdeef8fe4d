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

// rulesInfo is what an instance says about the rules in force.
type rulesInfo struct {
	Version descriptor.RulesVersion `json:"version"`
	Author  string                  `json:"author"`
}

// put tries one rule change and returns the version that it became, or the
// current version after a conflict.
func (c *cell) put(in *instance, author string, expected descriptor.RulesVersion, body string) (v, current descriptor.RulesVersion, err error) {
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
	return 0, 0, fmt.Errorf("status %d: %.200s", resp.StatusCode, b)
}

// versionWatch polls the rules of instances and keeps what they report.
type versionWatch struct {
	c    *cell
	t    *testing.T
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	highest map[*instance]descriptor.RulesVersion
	views   map[view]descriptor.RulesVersion
	starts  map[*instance]int
	polls   int
}

// view is what one process knows of another instance. A process that starts anew
// learns this from its peers, of which each knows what it last heard.
type view struct {
	of    *instance
	start int
	id    descriptor.InstanceID
}

func (c *cell) watchVersions() *versionWatch {
	w := &versionWatch{
		c: c, t: c.t, stop: make(chan struct{}),
		highest: map[*instance]descriptor.RulesVersion{}, views: map[view]descriptor.RulesVersion{}, starts: map[*instance]int{},
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

// poll asks one instance for its rules and for its own line of the status. An
// instance without rules, as after a start, reports version 0.
func (w *versionWatch) poll(in *instance) {
	var info rulesInfo
	if err := w.c.get(in.url+"/v1/rules", &info); err == nil {
		w.see(in, info.Version, "/v1/rules")
	}
	var status struct {
		Instances []struct {
			Instance descriptor.InstanceID   `json:"instance"`
			Version  descriptor.RulesVersion `json:"version"`
		} `json:"instances"`
	}
	start := w.startsOf(in)
	if err := w.c.get(in.url+"/v1/rules/status", &status); err != nil {
		return
	}
	for _, s := range status.Instances {
		if s.Instance == in.id {
			w.see(in, s.Version, "/v1/rules/status")
			continue
		}
		w.seeView(view{in, start, s.Instance}, s.Version)
	}
}

func (w *versionWatch) see(in *instance, v descriptor.RulesVersion, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if v != 0 && v < w.highest[in] {
		w.t.Errorf("P8: %s reports version %d at %s after version %d", in.id, v, path, w.highest[in])
	}
	w.highest[in] = max(w.highest[in], v)
}

// seeView checks what an instance says about another, which may lag but not go
// back.
func (w *versionWatch) seeView(v view, version descriptor.RulesVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version != 0 && version < w.views[v] {
		w.t.Errorf("P8: %s reports version %d of %s after version %d", v.of.id, version, v.id, w.views[v])
	}
	w.views[v] = max(w.views[v], version)
}

func (w *versionWatch) startsOf(in *instance) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[in]
}

// restart kills the instance and starts it again.
func (w *versionWatch) restart(in *instance) {
	in.kill()
	w.mu.Lock()
	w.starts[in]++
	w.mu.Unlock()
	w.c.startInstance(in)
	w.c.waitReady(in)
}

func (w *versionWatch) of(in *instance) descriptor.RulesVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest[in]
}

// TestOperatorsRace guards against an accepted rule change that is lost or
// reverts when two operators race each other while a data centre is cut off, and
// against an instance that starts there without rules (P8).
func TestOperatorsRace(t *testing.T) {
	c := newCell(t, defaultLayout(), testRules)
	w := c.watchVersions()
	const changes = 25 // of each operator
	accepted := make([]map[descriptor.RulesVersion]bool, 2)
	conflicts := make([]int, 2)
	half := make(chan struct{}, 2)
	var operators sync.WaitGroup
	for o := range 2 {
		accepted[o] = map[descriptor.RulesVersion]bool{}
		at := c.of([]zone{"sopron", "szombathely"}[o])
		author := fmt.Sprintf("operator-%d", o)
		operators.Go(func() {
			expected := descriptor.RulesVersion(1)
			for i := 0; i < changes; {
				v, current, err := c.put(at[i%len(at)], author, expected, testRules+fmt.Sprintf("weigh crest value=%d # asked by %s: change %d\n", i+1, author, i))
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
					half <- struct{}{}
				}
			}
		})
	}
	<-half
	cutOff := c.of("gyor")
	far := []zone{"sopron", "szombathely", platformZone}
	for _, z := range far {
		c.net.cutBoth("gyor", z)
	}
	time.Sleep(500 * time.Millisecond) // for polls that were under way
	kept := w.of(cutOff[0])
	for _, in := range cutOff {
		kept = max(kept, w.of(in))
	}
	operators.Wait()
	// An instance that starts in the cut-off data centre gets the rules from its peers.
	w.restart(cutOff[1])
	time.Sleep(2 * time.Second)
	for _, in := range cutOff {
		var info rulesInfo
		require.NoError(t, c.get(in.url+"/v1/rules", &info))
		require.Equal(t, kept, info.Version, "version of %s, which is cut off", in.id)
	}
	for _, z := range far {
		c.net.healBoth("gyor", z)
	}

	last := descriptor.RulesVersion(1 + 2*changes)
	for _, in := range c.instances {
		c.eventually(fmt.Sprintf("%s has version %d", in.id, last), func() error {
			var info rulesInfo
			if err := c.get(in.url+"/v1/rules", &info); err != nil {
				return err
			}
			if info.Version != last {
				return fmt.Errorf("version %d", info.Version)
			}
			return nil
		})
	}
	close(w.stop)
	w.wg.Wait()
	c.requireHistory(t, accepted)
	require.Less(t, kept, last, "nothing changed while the data centre was cut off")
	t.Logf("versions 1 to %d, conflicts %v, the cut-off data centre kept version %d, %d polls", last, conflicts, kept, w.polls)
}

// requireHistory checks that the history has each accepted version once, with its
// author.
func (c *cell) requireHistory(t *testing.T, accepted []map[descriptor.RulesVersion]bool) {
	t.Helper()
	var history struct {
		Versions []rulesInfo `json:"versions"`
	}
	require.NoError(t, c.get(c.instances[0].url+"/v1/rules/history?limit=1000", &history))
	authors := map[descriptor.RulesVersion]string{}
	for _, v := range history.Versions {
		require.NotContains(t, authors, v.Version, "version twice in the history")
		authors[v.Version] = v.Author
	}
	for o, versions := range accepted {
		for v := range versions {
			require.Equal(t, fmt.Sprintf("operator-%d", o), authors[v], "author of version %d", v)
		}
	}
}

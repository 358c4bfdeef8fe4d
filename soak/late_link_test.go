package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

// TestLateOrders guards against starting the tasks of a target again that an instance keeps
// alive: what the leader sends reaches the instances of a data centre 3 s late, what they
// send is lost then, and no other instance reaches their targets.
func TestLateOrders(t *testing.T) {
	disturbZone(t, func(c *longRunCell, targets []*standin.Target, setLinks func(linkFault)) {
		const delay = 3 * time.Second
		setLinks(linkFault{delay: [2]time.Duration{0, delay}})
		time.Sleep(time.Duration(float64(delay)/delayGrowth) + time.Second)
		for _, x := range targets {
			x.SetFaults(standin.TargetFaults{IgnoresConns: true})
		}
		c.log("what the instances send is lost")
		setLinks(linkFault{delay: [2]time.Duration{0, delay}, stalled: [2]bool{true, false}})
		time.Sleep(12 * time.Second)
	})
}

// TestLateReports guards against starting the tasks of a target again that an instance keeps
// alive: the target doesn't answer for 3 s, and the reports that it answers again reach the
// leader late, since the link of the instance gets slower.
func TestLateReports(t *testing.T) {
	disturbZone(t, func(c *longRunCell, targets []*standin.Target, setLinks func(linkFault)) {
		setLinks(linkFault{delay: [2]time.Duration{10 * time.Second, 0}, growth: 2})
		time.Sleep(500 * time.Millisecond)
		for _, x := range targets {
			x.SetUnresponsive(true)
		}
		time.Sleep(3 * time.Second)
		for _, x := range targets {
			x.SetUnresponsive(false)
		}
		c.log("targets answer again")
		time.Sleep(8 * time.Second)
	})
}

// disturbZone runs tasks of up to half a minute while disturb disturbs the targets of a data
// centre and the links from its instances to the leader, which is in another one.
func disturbZone(t *testing.T, disturb func(c *longRunCell, targets []*standin.Target, setLinks func(linkFault))) {
	t.Helper()
	c := startLongRuns(t, 1, longRunTargets, 30_000, "none")
	var wg sync.WaitGroup
	loadEnd := time.Now().Add(22 * time.Second)
	wg.Go(func() { c.submit(rand.New(rand.NewPCG(1, 2)), 150*time.Millisecond, loadEnd) })
	time.Sleep(6 * time.Second)
	leader := c.leader()
	zone := zoneOf(leader + 1)
	c.log("leader n%d, links of %s late", leader, zone)
	setLinks := func(f linkFault) {
		for i := range c.processes {
			if zoneOf(i) == zone {
				c.links[i][leader].setFault(f)
			}
		}
	}
	var targets []*standin.Target
	for _, x := range c.sim.Targets {
		if x.Zone == zone {
			targets = append(targets, x)
		}
	}
	disturb(c, targets, setLinks)
	setLinks(linkFault{})
	for _, x := range targets {
		x.SetFaults(standin.TargetFaults{})
	}
	wg.Wait()
	c.requireNoViolations()
}

// leader returns the number of the current leader.
func (c *longRunCell) leader() int {
	c.t.Helper()
	resp, err := http.Get("http://" + c.sim.StoreAddr + "/rows-get?table=control")
	require.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&body))
	for _, r := range body.Rows {
		for i := range c.processes {
			if r.Key == "leader" && strings.Contains(string(r.Value), `"`+c.processes[i].linkAddr+`"`) {
				return i
			}
		}
	}
	require.Fail(c.t, "no leader")
	return 0
}

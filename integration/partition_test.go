package integration

import (
	"testing"
	"time"

	"github.com/masticlead/masticlead/emulator"
)

// partition describes a network partition of one data centre: whether it affects the
// paths to the other data centres and to the platform, and how.
type partition struct {
	peers, platform bool
	// outbound and inbound are the faults of the connections that the data centre
	// opens, and of those that are opened to it.
	outbound, inbound fault
}

// testPartition partitions gyor from the rest while load runs, and checks that gyor,
// like the other data centres, meanwhile started idempotent work of its own callers.
func testPartition(t *testing.T, p partition) {
	l := shortLeaseLayout()
	c := newCell(t, l, testRules)
	load := c.startLoad(testSeed, 60, c.instances)
	time.Sleep(2 * time.Second)
	var remote []zone
	if p.peers {
		remote = append(remote, "sopron", "szombathely")
	}
	if p.platform {
		remote = append(remote, platformZone)
	}
	start := time.Now()
	for _, z := range remote {
		c.network.setFault(path{"gyor", z}, p.outbound)
		c.network.setFault(path{z, "gyor"}, p.inbound)
	}
	const duration = 9 * time.Second // three leases
	time.Sleep(duration)
	end := time.Now()
	for _, z := range remote {
		c.network.heal("gyor", z)
	}
	time.Sleep(5 * time.Second)
	load.stop()
	load.checkOutcomes(t)
	for _, dc := range l.dataCentres {
		c.requireStarts(t, "of idempotent work in "+string(dc)+" in the second half of the partition", start.Add(duration/2), end,
			func(r emulator.RunRecord) bool { return onTargets(string(dc))(r) && r.Idempotent })
	}
}

// TestDataCentreCutOff guards against a data centre that stops serving its own
// callers, and against work that runs in two data centres, when a data centre is
// disconnected from its peers and from the platform.
func TestDataCentreCutOff(t *testing.T) {
	testPartition(t, partition{peers: true, platform: true, outbound: fault{cut: true}, inbound: fault{cut: true}})
}

// TestCutOffFromPlatform guards against a data centre that gives up ownership of its
// targets, or refuses work that has run, when only the platform is unreachable from
// it.
func TestCutOffFromPlatform(t *testing.T) {
	testPartition(t, partition{platform: true, outbound: fault{cut: true}, inbound: fault{cut: true}})
}

// TestCutOffFromPeers guards against two data centres that both serve the same
// request because each considers the other failed.
func TestCutOffFromPeers(t *testing.T) {
	testPartition(t, partition{peers: true, outbound: fault{cut: true}, inbound: fault{cut: true}})
}

// TestRequestsDropped guards against calls that hang forever, and against a data
// centre that is considered reachable, when its connections stay open but no data
// that it sends arrives.
func TestRequestsDropped(t *testing.T) {
	testPartition(t, partition{peers: true, platform: true, outbound: fault{dropRequests: true}, inbound: fault{dropResponses: true}})
}

// TestAnswersDropped guards against work that runs twice, or is refused after it has
// run, when everything that the data centre sends takes effect, but no response or
// other message reaches it.
func TestAnswersDropped(t *testing.T) {
	testPartition(t, partition{peers: true, platform: true, outbound: fault{dropResponses: true}, inbound: fault{dropRequests: true}})
}

package loader

import (
	"net/netip"
	"slices"
	"time"
)

// checkConsistency adds a finding for each group of settings that contradict one
// another. It must be called only if each setting is valid by itself.
func (f *settingsFile) checkConsistency(s *Settings) {
	f.checkDataCentre(s)
	f.checkAdvertisedAddress("http", s.Listen.HTTP, s.Advertise.HTTP)
	f.checkAdvertisedAddress("peer", s.Listen.Peer, s.Advertise.Peer)
	f.checkTiming(&s.Timing)
	f.checkLimits(&s.Limits)
}

func (f *settingsFile) checkDataCentre(s *Settings) {
	if !slices.Contains(s.DataCentres, s.Instance.DataCentre) {
		f.addFinding("instance.dataCentre", "%q is not among dataCentres.names", s.Instance.DataCentre)
	}
}

// checkAdvertisedAddress adds a finding if the listen address is unspecified and no
// advertised address is set, since other processes could not connect then.
func (f *settingsFile) checkAdvertisedAddress(name, listen, advertise string) {
	address, err := netip.ParseAddrPort(listen)
	if err == nil && address.Addr().IsUnspecified() && advertise == "" {
		f.addFinding("listen."+name, "%s names no address that others can connect to; set advertise.%s", listen, name)
	}
}

// checkTiming adds findings for durations that violate the assumptions of leases
// and membership.
func (f *settingsFile) checkTiming(t *Timing) {
	ms := time.Duration.Milliseconds
	// The lease must survive the loss of two consecutive renewals.
	if 3*t.Renewal > t.Lease {
		f.addFinding("timing.renewalMs", "%d must be at most a third of leaseMs=%d", ms(t.Renewal), ms(t.Lease))
	}
	// A promise that is valid for longer than the lease would delay every takeover.
	if t.Promise > t.Lease {
		f.addFinding("timing.promiseMs", "%d must be at most leaseMs=%d", ms(t.Promise), ms(t.Lease))
	}
	if t.MaxExtension < t.Lease {
		f.addFinding("timing.maxExtensionMs", "%d must be at least leaseMs=%d", ms(t.MaxExtension), ms(t.Lease))
	}
	// The loss of two consecutive heartbeats must not make a member suspect.
	if 3*t.Heartbeat > t.Suspect {
		f.addFinding("timing.heartbeatMs", "%d must be at most a third of suspectMs=%d", ms(t.Heartbeat), ms(t.Suspect))
	}
	if t.Suspect >= t.Remove {
		f.addFinding("timing.suspectMs", "%d must be less than removeMs=%d", ms(t.Suspect), ms(t.Remove))
	}
	// The tasks of a failed owner must stay leased until the next owner renews them:
	// one lease duration until the takeover, and one for recovery.
	if t.TaskLease < 2*t.Lease {
		f.addFinding("timing.taskLeaseMs", "%d must be at least twice leaseMs=%d", ms(t.TaskLease), ms(t.Lease))
	}
}

func (f *settingsFile) checkLimits(l *Limits) {
	if l.CallerQueuedRequests > l.QueuedRequests {
		f.addFinding("limits.callerQueuedRequests", "%d must be at most queuedRequests=%d", l.CallerQueuedRequests, l.QueuedRequests)
	}
	if l.CallerQueuedBytes > l.QueuedBytes {
		f.addFinding("limits.callerQueuedBytes", "%d must be at most queuedBytes=%d", l.CallerQueuedBytes, l.QueuedBytes)
	}
	if l.BodyBytes > l.CallerQueuedBytes {
		f.addFinding("limits.bodyBytes", "%d must be at most callerQueuedBytes=%d, or the largest request could never wait",
			l.BodyBytes, l.CallerQueuedBytes)
	}
}

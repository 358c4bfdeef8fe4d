package loader

import (
	"net/netip"
	"slices"
	"time"
)

// checkRelations reports settings that contradict each other. It runs only if
// each of them is valid on its own.
func (f *file) checkRelations(s *Settings) {
	f.checkDataCentre(s)
	f.checkAdvertised("http", s.Listen.HTTP, s.Advertise.HTTP)
	f.checkAdvertised("peer", s.Listen.Peer, s.Advertise.Peer)
	f.checkTiming(&s.Timing)
	f.checkLimits(&s.Limits)
}

func (f *file) checkDataCentre(s *Settings) {
	if !slices.Contains(s.DataCentres, s.Instance.DataCentre) {
		f.add("instance.dataCentre", "%q is not among dataCentres.names", s.Instance.DataCentre)
	}
}

// checkAdvertised reports an instance that others have no address for.
func (f *file) checkAdvertised(name, listen, advertise string) {
	address, err := netip.ParseAddrPort(listen)
	if err == nil && address.Addr().IsUnspecified() && advertise == "" {
		f.add("listen."+name, "%s names no address that others can connect to; set advertise.%s", listen, name)
	}
}

// checkTiming reports periods that would break what the leases and the
// membership rely on.
func (f *file) checkTiming(t *Timing) {
	ms := time.Duration.Milliseconds
	// Two renewals in a row may be lost without the loss of the lease.
	if 3*t.Renewal > t.Lease {
		f.add("timing.renewalMs", "%d must be at most a third of leaseMs=%d", ms(t.Renewal), ms(t.Lease))
	}
	// A promise that outlives the lease would delay every takeover.
	if t.Promise > t.Lease {
		f.add("timing.promiseMs", "%d must be at most leaseMs=%d", ms(t.Promise), ms(t.Lease))
	}
	if t.MaxExtension < t.Lease {
		f.add("timing.maxExtensionMs", "%d must be at least leaseMs=%d", ms(t.MaxExtension), ms(t.Lease))
	}
	// Two heartbeats in a row may be lost without suspicion.
	if 3*t.Heartbeat > t.Suspect {
		f.add("timing.heartbeatMs", "%d must be at most a third of suspectMs=%d", ms(t.Heartbeat), ms(t.Suspect))
	}
	if t.Suspect >= t.Remove {
		f.add("timing.suspectMs", "%d must be less than removeMs=%d", ms(t.Suspect), ms(t.Remove))
	}
	// Tasks of a dead owner must survive until the next owner renews them: one
	// lease until the takeover, and one for recovery.
	if t.TaskLease < 2*t.Lease {
		f.add("timing.taskLeaseMs", "%d must be at least twice leaseMs=%d", ms(t.TaskLease), ms(t.Lease))
	}
}

func (f *file) checkLimits(l *Limits) {
	if l.CallerQueuedRequests > l.QueuedRequests {
		f.add("limits.callerQueuedRequests", "%d must be at most queuedRequests=%d", l.CallerQueuedRequests, l.QueuedRequests)
	}
	if l.CallerQueuedBytes > l.QueuedBytes {
		f.add("limits.callerQueuedBytes", "%d must be at most queuedBytes=%d", l.CallerQueuedBytes, l.QueuedBytes)
	}
	if l.BodyBytes > l.CallerQueuedBytes {
		f.add("limits.bodyBytes", "%d must be at most callerQueuedBytes=%d, or the largest request could never wait",
			l.BodyBytes, l.CallerQueuedBytes)
	}
}

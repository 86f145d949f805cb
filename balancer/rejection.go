package balancer

import (
	"time"

	"github.com/rs/zerolog"
)

//go:generate enumer -type RejectionCause -trimprefix RejectionCause -transform title-lower -output rejectioncause_gen.go

// RejectionCause is why an upstream of a path rejected a request, as far as this host knows.
type RejectionCause int

// The causes.
const (
	// RejectionCauseUnexplained means that less than half of the capacity was known to be in use:
	// the upstream is leaving or unloads layers, and the list doesn't show that yet.
	RejectionCauseUnexplained RejectionCause = iota
	// RejectionCauseHidden means that known usage left capacity for the request: other hosts have
	// filled it since their last reports, or answers are longer than expected.
	RejectionCauseHidden
	// RejectionCauseFull means that known usage left no capacity for the request.
	RejectionCauseFull
)

// Rejection is what this host knew of an upstream of a path that rejected a request.
type Rejection struct {
	Cause RejectionCause
	// Capacity, Own, Known and Expected are in token-layers: what fits beside the layers, what this
	// host's requests take, what those of all hosts take as last reported, and what this host
	// expected at the time.
	Capacity, Own, Known, Expected float64
	// ReportAge is the age of the oldest report; 0 where there is none.
	ReportAge time.Duration
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r *Rejection) MarshalZerologObject(e *zerolog.Event) {
	e.Stringer("cause", r.Cause).Int64("capacity", int64(r.Capacity)).Int64("own", int64(r.Own)).Int64("known", int64(r.Known)).
		Int64("expected", int64(r.Expected)).Dur("reportAge", r.ReportAge)
}

// hiddenUsageMemory is how long the usage revealed by a rejection is added to the reported
// usage: the time in which about a fifth of the streams there end.
const hiddenUsageMemory = 500 * time.Millisecond

const (
	// unexplainedRejectionBelow is the share of the capacity in use below which a rejection can't
	// be for lack of capacity: the upstream is leaving or unloads layers, and the list doesn't show
	// that yet.
	unexplainedRejectionBelow = 0.5
	// hiddenFillBelow replaces it while requests are spread by at least hiddenFillDegree: several
	// recent rejections show that other hosts fill upstreams between their reports.
	hiddenFillBelow  = 0.25
	hiddenFillDegree = 0.5
)

// RecordRejection records that an upstream rejected a request. One that should have had capacity is
// ejected for a while. Otherwise other hosts fill it, or answers are longer than expected, and
// the difference counts as hidden usage. It returns nil if the upstream is not known.
func (b *Balancer) RecordRejection(now time.Duration, id string) *Rejection {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return nil
	}
	known := b.totalUsage(now, u).tokenLayers
	out := &Rejection{Capacity: u.capacity, Own: u.reserved, Known: known, Expected: u.estimatedUsage(now, known)}
	if len(b.peerReports.bySource) > 0 {
		out.ReportAge = now - b.peerReports.oldest
	}
	if known < u.capacity*(1-headroom) {
		b.spread.recordRejected(now)
	}
	explained := unexplainedRejectionBelow
	if b.spreadDegree(now) >= hiddenFillDegree {
		explained = hiddenFillBelow
	}
	if known < explained*u.capacity {
		u.eject(now)
		return out
	}
	out.Cause = RejectionCauseFull
	if known < u.capacity*(1-headroom) {
		out.Cause = RejectionCauseHidden
	}
	u.hiddenUsage = max(0, u.capacity-known)
	u.rejectedAt = now
	return out
}

// estimatedUsage adds what is left of the hidden usage to the known usage, in token-layers.
func (u *upstream) estimatedUsage(now time.Duration, known float64) float64 {
	if age := now - u.rejectedAt; age < hiddenUsageMemory {
		known += u.hiddenUsage * (1 - float64(age)/float64(hiddenUsageMemory))
	}
	return known
}

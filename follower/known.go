package follower

import (
	"maps"
	"time"

	"github.com/sardineward/sardineward/matcher"
)

const (
	// maxKnownConfigurations is how many configurations a host keeps, the one in force included, to send
	// peers only what changed. They share the memory of equal routes.
	maxKnownConfigurations = 4
	// changeWait is how long a host waits for a change of the configuration that a peer will send
	// before it reads the source itself.
	changeWait = 1400 * time.Millisecond
	// maxReadDelay bounds the time over which the hosts' reads of a new configuration are spread.
	maxReadDelay = 500 * time.Millisecond
	// awaitingFallbackAge replaces fallbackAge on a host that waits for its peers. It may be longer, because
	// such a host still learns from them which upstreams leave, or could not read that sooner itself.
	awaitingFallbackAge = fallbackAge + time.Second
)

// knownConfiguration is a configuration that is or was in force.
type knownConfiguration struct {
	cfg    *matcher.Configuration
	digest *matcher.Digest
}

// inForce returns the configuration in force with its digest; nil before the first read. f.mu is held.
func (f *Follower) inForce() *knownConfiguration {
	if len(f.known) == 0 {
		return nil
	}
	return &f.known[len(f.known)-1]
}

// ConfigurationDigest returns the version of the configuration in force and the sum of its digest; zeros
// before the first read.
func (f *Follower) ConfigurationDigest() (version int64, sum uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.inForce(); k != nil {
		return k.cfg.Version, k.digest.Sum
	}
	return 0, 0
}

// ConfigurationChange returns the change from the configuration with the given version and digest to the one
// in force; nil if this host does not keep the former one, or it is the one in force.
func (f *Follower) ConfigurationChange(version int64, sum uint64) *matcher.Change {
	f.mu.Lock()
	var from, to *knownConfiguration
	for i := range f.known {
		if k := f.known[i]; k.cfg.Version == version && k.digest.Sum == sum {
			from = &k
		}
	}
	if k := f.inForce(); k != nil {
		last := *k
		to = &last
	}
	f.mu.Unlock()
	if from == nil || from.cfg.Version >= to.cfg.Version {
		return nil
	}
	return matcher.NewChange(from.cfg, to.cfg, from.digest, to.digest)
}

// ApplyPeerChange applies a change that a peer sent to the configuration in force. A change from another
// version is ignored, because this host has advanced since it sent the call. A change from another content
// of the version in force is an error.
func (f *Follower) ApplyPeerChange(c *matcher.Change) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.inForce()
	if k == nil || k.cfg.Version != c.From {
		return nil
	}
	cfg, digest, err := c.Apply(k.cfg, k.digest)
	if err != nil {
		return err
	}
	f.putInForce(cfg, digest)
	return nil
}

// AwaitsPeer reports whether this host waits before it reads the source, because a peer has announced a newer
// configuration, or a peer is receiving a long answer of the source.
func (f *Follower) AwaitsPeer() bool {
	if f.ageOf(&f.peerReceivingAt) < receivingTerm {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.awaitsChange()
}

// awaitsChange reports whether this host waits before it reads a newer configuration, see delayRead. f.mu
// is held.
func (f *Follower) awaitsChange() bool { return f.Now() < f.changeDueAt }

// delayRead makes this host wait before it reads a newer configuration that a peer knows: for its turn, and
// for changeWait if the peer will send the change. Further announcements do not lengthen the wait.
// f.mu is held.
func (f *Follower) delayRead(follows bool) {
	if f.changeDueAt > 0 {
		return
	}
	f.changeDueAt = f.Now() + f.readDelay()
	if follows {
		f.changeDueAt += changeWait
	}
}

// readDelay returns how long this host waits for its turn among all hosts that read a new configuration. f.mu
// is held.
func (f *Follower) readDelay() time.Duration {
	before := f.hostsBefore(maps.Values(f.hosts))
	return time.Duration(before) * min(loadStagger, maxReadDelay/time.Duration(len(f.hosts)+1))
}

// applyAhead applies the changes of upstreams that a peer sent together with the announcement of a newer
// configuration, without which this host cannot advance to the position of the peer. It reports whether
// there were any. f.mu is held.
func (f *Follower) applyAhead(s *State) bool {
	u := s.Update
	if u == nil || u.After != f.position || s.Before(f.peerListPosition) || len(u.Listed)+len(u.Removed) == 0 {
		return false
	}
	// These changes belong to no position this host has reached.
	f.history = history{}
	f.updateUpstreams(u.Listed, u.Removed)
	return true
}

// maxPeerAge returns the staleness at which this host reads the source itself.
func (f *Follower) maxPeerAge() time.Duration {
	if f.AwaitsPeer() {
		return awaitingFallbackAge
	}
	return fallbackAge
}

// untilFallback returns how long a host that is served by peers waits until it checks again whether to read
// the source.
func (f *Follower) untilFallback() time.Duration {
	next := f.maxPeerAge() - f.ReadAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaitsChange() {
		next = min(next, f.changeDueAt-f.Now())
	}
	return max(minFallbackCheckInterval, next)
}

// Package delegator chooses the hosts that serve requests for a host which reaches no upstream. It does no
// I/O; package forwarder sends the requests and tells how they ended.
package delegator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxInFlight bounds the requests that one host delegates, and those that it serves for others, at a
	// time. Each takes a connection and a request's body at both.
	maxInFlight = 512
	// remoteCost is how many more requests a host of this data centre has in flight for this one before
	// one of another data centre is chosen: traffic between data centres is slower and paid for.
	remoteCost = 16
	// suspectCost is the same for the hosts of a data centre of which one has just not served: often all hosts of
	// a data centre are cut off together.
	suspectCost = 4 * remoteCost
	// exclusionMemory is how long after its exclusion a host is chosen last.
	exclusionMemory = 10 * time.Second
	// unservedTime is how long no host is asked to serve a service after all that were asked refused. Hosts that use
	// none of its upstreams do not report them dead.
	unservedTime = 500 * time.Millisecond
	// maxExclusions bounds what is kept of hosts and services.
	maxExclusions = 4096
)

// Host is an entry host that may serve requests for this one.
type Host struct {
	Name, Address, DataCentre string
}

// target is a host or a data centre with a service; an empty service stands for all.
type target struct{ name, service string }

// Delegator chooses hosts. Its exported fields are set before use; it is safe for concurrent use.
type Delegator struct {
	// DataCentre is that of this host.
	DataCentre string
	// Hosts returns the other hosts that are known and answer.
	Hosts func() []Host

	mu sync.Mutex
	// inFlight counts the requests that each host serves for this one, all of them in total.
	inFlight map[string]int
	total    int
	// excluded is the end of the time in which a host is not chosen, since it did not answer or refused.
	excluded map[target]time.Duration
	// suspectUntil is the end of the time in which the hosts of a data centre are chosen last.
	suspectUntil map[target]time.Duration
	// unservedUntil is the end of the time in which no host is asked to serve a service, since all that were asked
	// refused.
	unservedUntil map[string]time.Duration
	// taken counts the requests that this host serves for others.
	taken int
}

// Choose returns the host that is to serve a request of a service, one of those that are not in tried, and
// reserves it until Release. It returns false if there is none, or if too many requests are delegated.
func (d *Delegator) Choose(now time.Duration, service string, tried []string) (Host, bool) {
	hosts := d.Hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.total >= maxInFlight {
		return Host{}, false
	}
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool {
		return until(d.excluded, h.Name, service) > now || slices.Contains(tried, h.Name)
	})
	if len(hosts) == 0 {
		return Host{}, false
	}
	// Hosts with equal costs are chosen at random, so that many hosts that are cut off together do not
	// send all they have to the same one.
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	h := slices.MinFunc(hosts, func(a, b Host) int { return cmp.Compare(d.cost(now, service, a), d.cost(now, service, b)) })
	if d.inFlight == nil {
		d.inFlight = make(map[string]int)
	}
	d.inFlight[h.Name]++
	d.total++
	return h, true
}

// Witnesses returns a random host of this data centre and one of another, as far as there are any besides those with
// the given names.
func (d *Delegator) Witnesses(without ...string) []Host {
	hosts := slices.DeleteFunc(slices.Clone(d.Hosts()), func(h Host) bool { return slices.Contains(without, h.Name) })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var out []Host
	for _, near := range []bool{true, false} {
		if n := slices.IndexFunc(hosts, func(h Host) bool { return (h.DataCentre == d.DataCentre) == near }); n >= 0 {
			out = append(out, hosts[n])
		}
	}
	return out
}

// until returns when the entry of a host or data centre ends, for all services or for one; 0 if there is none.
func until(entries map[target]time.Duration, name, service string) time.Duration {
	return max(entries[target{name: name}], entries[target{name, service}])
}

// cost returns what one more request of a service costs at h. d.mu is held.
func (d *Delegator) cost(now time.Duration, service string, h Host) int {
	out := d.inFlight[h.Name]
	if h.DataCentre != d.DataCentre {
		out += remoteCost
	}
	if until(d.suspectUntil, h.DataCentre, service) > now {
		out += suspectCost
	}
	// This adds to the cost of the data centre: otherwise hosts that refused cost the same as the others where
	// every data centre has one of them.
	if excluded := until(d.excluded, h.Name, service); excluded > 0 && now < excluded+exclusionMemory {
		out += suspectCost
	}
	return out
}

// Release ends the reservation of a host.
func (d *Delegator) Release(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total--
	if d.inFlight[h.Name]--; d.inFlight[h.Name] == 0 {
		delete(d.inFlight, h.Name)
	}
}

// Exclude records that a host did not serve a request of a service, or any request where service is empty. Until
// the given time it is not chosen, and the other hosts of its data centre are chosen last.
func (d *Delegator) Exclude(h Host, service string, until time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.excluded == nil || len(d.excluded) >= maxExclusions {
		d.excluded, d.suspectUntil = make(map[target]time.Duration), make(map[target]time.Duration)
	}
	host, dataCentre := target{h.Name, service}, target{h.DataCentre, service}
	d.excluded[host] = max(d.excluded[host], until)
	d.suspectUntil[dataCentre] = max(d.suspectUntil[dataCentre], until)
}

// RecordUnserved records that all hosts that were asked refused a request of a service.
func (d *Delegator) RecordUnserved(now time.Duration, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unservedUntil == nil || len(d.unservedUntil) >= maxExclusions {
		d.unservedUntil = make(map[string]time.Duration)
	}
	d.unservedUntil[service] = now + unservedTime
}

// IsUnserved reports whether all hosts that were asked lately refused a request of a service.
func (d *Delegator) IsUnserved(now time.Duration, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unservedUntil[service] > now
}

// Take reserves room for a request that this host serves for another one, until Done. It returns false if
// there are too many.
func (d *Delegator) Take() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.taken >= maxInFlight {
		return false
	}
	d.taken++
	return true
}

// Done ends a reservation of Take.
func (d *Delegator) Done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.taken--
}

// InFlight returns how many requests are delegated now, and how many this host serves for others.
func (d *Delegator) InFlight() (delegated, taken int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.total, d.taken
}

package balancer

import (
	"slices"
	"strings"
	"time"
)

// Begun notes the first event of a stream, Progress every further one.
func (b *Balancer) Begun(now time.Duration, l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.first {
		return
	}
	l.first = true
	for _, h := range l.hops {
		if u := b.ups[h.ID]; u != nil {
			u.flows++
			u.progressed = now
			u.strikes, u.suspectUntil = 0, 0
		}
	}
}

// Progress notes an event of a stream.
func (b *Balancer) Progress(now time.Duration, l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range l.hops {
		if u := b.ups[h.ID]; u != nil {
			u.progressed = now
		}
	}
}

const (
	// silenceOne is how long one stream may get no event before its upstreams
	// are asked: five events, and well under the pause that callers expect at
	// most. Over an upstream with more streams events come as many times more
	// often, down to silenceLeast: streams that share a batch get theirs together,
	// once in a pass over all engines of a path.
	silenceOne   = 250 * time.Millisecond
	silenceLeast = 60 * time.Millisecond
)

// Silent lists upstreams over which streams have begun and none has got an
// event for longer than that many streams explain.
func (b *Balancer) Silent(now time.Duration) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Hop
	for _, u := range b.subset.used {
		limit := max(silenceLeast, silenceOne/time.Duration(max(1, u.flows)))
		if u.flows > 0 && !u.dead && now-u.progressed > limit {
			out = append(out, Hop{ID: u.ID, Address: u.Address})
		}
	}
	return out
}

// Stuck lists the hops of a path over which no event has come since a time.
// Streams that wait for their first event show a dead upstream that has no
// other streams.
func (b *Balancer) Stuck(l *Lease, since time.Duration) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Hop
	for _, h := range l.hops {
		if u := b.ups[h.ID]; u != nil && !u.dead && u.progressed < since {
			out = append(out, h)
		}
	}
	return out
}

// Ended notes that an upstream refuses connections: its process is gone, while
// one that merely does not answer may be at work.
func (b *Balancer) Ended(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.ups[id]; u != nil {
		u.ended = true
	}
}

// Lost reports whether an upstream is surely at work no more: it is not listed,
// or refuses connections.
func (b *Balancer) Lost(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	return u == nil || u.ended
}

// Dead lists upstreams that take no connection, of each data centre at most some,
// in turn: most of the time a whole data centre is out of reach, and one that
// takes a connection again tells of all of it.
func (b *Balancer) Dead(turn, most int) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	centres := make(map[string][]Hop)
	for _, u := range b.subset.used {
		if u.dead {
			centres[u.DataCentre] = append(centres[u.DataCentre], Hop{ID: u.ID, Address: u.Address})
		}
	}
	var out []Hop
	for _, dead := range centres {
		slices.SortFunc(dead, func(a, b Hop) int { return strings.Compare(a.ID, b.ID) })
		for i := range min(most, len(dead)) {
			out = append(out, dead[(turn*most+i)%len(dead)])
		}
	}
	return out
}

// DeadBeside lists the upstreams of the data centre of one that take no
// connection.
func (b *Balancer) DeadBeside(id string) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil {
		return nil
	}
	var out []Hop
	for _, v := range b.subset.used {
		if v.dead && v != u && v.DataCentre == u.DataCentre {
			out = append(out, Hop{ID: v.ID, Address: v.Address})
		}
	}
	return out
}

// SetDead notes whether an upstream takes connections. It reports whether that
// was news.
func (b *Balancer) SetDead(now time.Duration, id string, dead bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil || u.dead == dead {
		return false
	}
	u.dead = dead
	b.subset.stale = true
	if dead {
		u.died = now
	} else {
		u.ended = false
	}
	return true
}

// WentDown lists the upstreams that were found dead at about a time.
func (b *Balancer) WentDown(at, within time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, u := range b.subset.used {
		if u.died > 0 && max(u.died-at, at-u.died) <= within {
			out = append(out, id)
		}
	}
	return out
}

// Born returns when an upstream was started, in Unix milliseconds; 0 when it is
// not known.
func (b *Balancer) Born(id string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.ups[id]; u != nil {
		return u.Born
	}
	return 0
}

// together is the time within which the loss of two upstreams of one data centre
// speaks of the way there.
const together = time.Second

// Suspects lists the other upstreams of the data centre of one that was found
// dead, when another there was just before. A data centre that is cut off is
// found one upstream after the other otherwise, each by streams that wait.
func (b *Balancer) Suspects(now time.Duration, id string) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil {
		return nil
	}
	var out []Hop
	more := false
	for _, v := range b.subset.used {
		if v == u || v.DataCentre != u.DataCentre {
			continue
		}
		if v.dead {
			more = more || now-v.died < together
			continue
		}
		out = append(out, Hop{ID: v.ID, Address: v.Address})
	}
	if !more {
		return nil
	}
	return out
}

const (
	// greyMemory is the weight of one more outcome: ten requests tell a third
	// of failures from a slip.
	greyMemory = 0.15
	// outFirst and outMost bound how long an upstream that can't be reached is
	// left alone; the list tells of its end after three heartbeats.
	outFirst = 500 * time.Millisecond
	outMost  = 4 * time.Second
	// suspectMemory is how long after that it stays dearer than others: the list
	// tells of its end by then.
	suspectMemory = 4 * time.Second
)

// Served notes an answer of an upstream and what it said of its load.
func (b *Balancer) Served(now time.Duration, id string, load *Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil {
		return
	}
	u.strikes = 0
	u.grey -= greyMemory * u.grey
	if load != nil {
		u.load, u.loadAt = *load, now
	}
}

// Failed notes a request that an upstream failed but for which it stays in use.
func (b *Balancer) Failed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.ups[id]; u != nil {
		u.grey += greyMemory * (1 - u.grey)
	}
}

// Out takes an upstream that can't be reached out of use for a while, doubled
// each time in a row. It reports whether it was in use.
func (b *Balancer) Out(now time.Duration, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	return u != nil && u.out(now)
}

// out is Out.
func (u *upstream) out(now time.Duration) bool {
	if u.outUntil > now {
		return false
	}
	u.outUntil = now + min(outMost, outFirst<<min(u.strikes, 4))
	u.suspectUntil = u.outUntil + suspectMemory
	u.strikes++
	return true
}

// fullMemory is how long an upstream is kept fuller than this host's requests
// make it: the time in which about a fifth of the streams there end.
const fullMemory = 500 * time.Millisecond

// turnedBelow is the part of its room up to which an upstream that turns a request
// away surely has another reason: it is leaving or gives up layers, and the list
// does not tell yet.
const turnedBelow = 0.5

// Turned notes that an upstream turned a request away. One that should have had
// room is left alone for a while; else other hosts fill it, or answers are longer
// than expected.
func (b *Balancer) Turned(now time.Duration, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil {
		return
	}
	known := b.known(now, u).room
	if known < turnedBelow*u.room {
		u.out(now)
		return
	}
	u.hidden = max(0, u.room-known)
	u.fullAt = now
}

// filled are the token-layers that are thought to be taken of u's room, of which
// known are told of.
func (u *upstream) filled(now time.Duration, known float64) float64 {
	if age := now - u.fullAt; age < fullMemory {
		known += u.hidden * (1 - float64(age)/float64(fullMemory))
	}
	return known
}

package faker

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/matcher"
)

// errUnavailable is the error of every call to an unreachable Directory.
var errUnavailable = errors.New("faker: source is unavailable")

// Directory is an in-memory follower.Source with a configuration, upstreams and hosts. The zero
// value is empty and ready to use.
type Directory struct {
	mu sync.Mutex
	// era counts the calls of Restore.
	era         int64
	revision    int64
	cfg         *matcher.Configuration
	upstreams   map[string]balancer.Upstream
	hosts       []follower.Host
	history     []historyEntry
	unavailable bool
	changed     chan struct{}
}

// historyEntry is one change; exactly one field besides revision is set.
type historyEntry struct {
	revision        int64
	cfg             *matcher.Configuration
	upstream        *balancer.Upstream
	removedUpstream string
	host            *follower.Host
	removedHost     string
}

// Configure replaces the configuration.
func (d *Directory) Configure(cfg *matcher.Configuration) {
	d.record(func(c *historyEntry) { d.cfg, c.cfg = cfg, cfg })
}

// PutUpstream adds or replaces the entry of an upstream.
func (d *Directory) PutUpstream(u balancer.Upstream) {
	d.record(func(c *historyEntry) {
		if d.upstreams == nil {
			d.upstreams = make(map[string]balancer.Upstream)
		}
		d.upstreams[u.ID] = u
		c.upstream = &u
	})
}

// AddHost adds the entry of an entry host.
func (d *Directory) AddHost(h follower.Host) {
	d.record(func(c *historyEntry) {
		d.hosts = append(d.hosts, h)
		c.host = &h
	})
}

// DeleteHost removes the entry of an entry host.
func (d *Directory) DeleteHost(name string) {
	d.record(func(c *historyEntry) {
		d.hosts = slices.DeleteFunc(slices.Clone(d.hosts), func(h follower.Host) bool { return h.Name == name })
		c.removedHost = name
	})
}

// DeleteUpstream removes an upstream's entry.
func (d *Directory) DeleteUpstream(id string) {
	d.record(func(c *historyEntry) {
		delete(d.upstreams, id)
		c.removedUpstream = id
	})
}

// SetUnavailable makes the source unreachable, or reachable again.
func (d *Directory) SetUnavailable(unavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = unavailable
}

func (d *Directory) position() follower.Position {
	return follower.Position{Era: d.era, Revision: d.revision}
}

// Snapshot returns a snapshot of the current state, for Restore.
func (d *Directory) Snapshot() *Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Directory{revision: d.revision, cfg: d.cfg, upstreams: maps.Clone(d.upstreams), hosts: slices.Clone(d.hosts), history: slices.Clone(d.history)}
}

// Restore goes back to a snapshot: later writes are lost, and later revisions are assigned again.
func (d *Directory) Restore(c *Directory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.era++
	d.revision, d.cfg, d.upstreams, d.hosts, d.history = c.revision, c.cfg, maps.Clone(c.upstreams), slices.Clone(c.hosts), slices.Clone(c.history)
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Compact drops the history, so that Changes since an earlier revision fails with
// follower.ErrCompacted.
func (d *Directory) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = nil
}

// record adds a change, which set fills in under the lock, and wakes waiting calls of Changes.
func (d *Directory) record(set func(*historyEntry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	c := historyEntry{revision: d.revision}
	set(&c)
	d.history = append(d.history, c)
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Load implements follower.Source.
func (d *Directory) Load(context.Context, follower.LoadDelay) (*follower.Changes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return nil, errUnavailable
	}
	out := &follower.Changes{Position: d.position(), Configuration: d.cfg, Hosts: slices.Clone(d.hosts)}
	for _, u := range d.upstreams {
		out.Listed = append(out.Listed, u)
	}
	return out, nil
}

// Configuration implements follower.Source.
func (d *Directory) Configuration(context.Context, bool) (*matcher.Configuration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return nil, errUnavailable
	}
	return d.cfg, nil
}

// Changes implements follower.Source.
func (d *Directory) Changes(ctx context.Context, at follower.Position, wait time.Duration) (*follower.Changes, error) {
	after := at.Revision
	d.mu.Lock()
	if d.era == at.Era && d.revision <= after {
		d.waitForChange(ctx, wait)
	}
	defer d.mu.Unlock()
	if d.unavailable {
		return nil, errUnavailable
	}
	if d.era != at.Era {
		return nil, follower.ErrCompacted
	}
	out := &follower.Changes{Position: d.position()}
	if d.revision <= after {
		return out, nil
	}
	if len(d.history) == 0 || d.history[0].revision > after+1 {
		return nil, follower.ErrCompacted
	}
	for _, c := range d.history {
		switch {
		case c.revision <= after:
		case c.cfg != nil:
			out.Configuration = c.cfg
		case c.upstream != nil:
			out.AddUpstream(c.upstream)
		case c.host != nil:
			out.Hosts = append(out.Hosts, *c.host)
		case c.removedHost != "":
			out.RemovedHosts = append(out.RemovedHosts, c.removedHost)
		default:
			out.RemoveUpstream(c.removedUpstream)
		}
	}
	return out, nil
}

// waitForChange releases d.mu until a change, the end of ctx, or maxWait has passed.
func (d *Directory) waitForChange(ctx context.Context, maxWait time.Duration) {
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	changed := d.changed
	d.mu.Unlock()
	defer d.mu.Lock()
	select {
	case <-changed:
	case <-time.After(maxWait):
	case <-ctx.Done():
	}
}

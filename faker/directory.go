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

// errAway is what an unreachable Directory answers.
var errAway = errors.New("faker: source is away")

// Directory is a follower.Source in memory: a configuration, upstreams and hosts.
type Directory struct {
	mu sync.Mutex
	// era is how often it came back from a copy.
	era      int64
	revision int64
	cfg      *matcher.Configuration
	ups      map[string]balancer.Upstream
	hosts    []follower.Host
	log      []listing
	away     bool
	changed  chan struct{}
}

type listing struct {
	revision int64
	cfg      *matcher.Configuration
	up       *balancer.Upstream
	gone     string
	host     *follower.Host
	hostGone string
}

// Configure puts a configuration into the source.
func (d *Directory) Configure(cfg *matcher.Configuration) {
	d.add(func(c *listing) { d.cfg, c.cfg = cfg, cfg })
}

// List writes an upstream's entry, Drop removes it.
func (d *Directory) List(u balancer.Upstream) {
	d.add(func(c *listing) {
		if d.ups == nil {
			d.ups = make(map[string]balancer.Upstream)
		}
		d.ups[u.ID] = u
		c.up = &u
	})
}

// Host writes the entry of an entry host.
func (d *Directory) Host(h follower.Host) {
	d.add(func(c *listing) {
		d.hosts = append(d.hosts, h)
		c.host = &h
	})
}

// DropHost removes the entry of an entry host.
func (d *Directory) DropHost(name string) {
	d.add(func(c *listing) {
		d.hosts = slices.DeleteFunc(slices.Clone(d.hosts), func(h follower.Host) bool { return h.Name == name })
		c.hostGone = name
	})
}

// Drop removes an upstream's entry.
func (d *Directory) Drop(id string) {
	d.add(func(c *listing) {
		delete(d.ups, id)
		c.gone = id
	})
}

// SetAway makes the source unreachable, or reachable again.
func (d *Directory) SetAway(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

func (d *Directory) position() follower.Position {
	return follower.Position{Era: d.era, Revision: d.revision}
}

// Copy returns what it holds, for Restore.
func (d *Directory) Copy() *Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Directory{revision: d.revision, cfg: d.cfg, ups: maps.Clone(d.ups), hosts: slices.Clone(d.hosts), log: slices.Clone(d.log)}
}

// Restore goes back to a copy: what was written since is gone, and revisions are given out
// again.
func (d *Directory) Restore(c *Directory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.era++
	d.revision, d.cfg, d.ups, d.hosts, d.log = c.revision, c.cfg, maps.Clone(c.ups), slices.Clone(c.hosts), slices.Clone(c.log)
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Compact forgets all history.
func (d *Directory) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = nil
}

func (d *Directory) add(set func(*listing)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	c := listing{revision: d.revision}
	set(&c)
	d.log = append(d.log, c)
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Load implements follower.Source.
func (d *Directory) Load(context.Context, follower.LoadDelay) (*follower.Changes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away {
		return nil, errAway
	}
	out := &follower.Changes{Position: d.position(), Configuration: d.cfg, Hosts: slices.Clone(d.hosts)}
	for _, u := range d.ups {
		out.Listed = append(out.Listed, u)
	}
	return out, nil
}

// Configuration implements follower.Source.
func (d *Directory) Configuration(context.Context) (*matcher.Configuration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away {
		return nil, errAway
	}
	return d.cfg, nil
}

// Changes implements follower.Source.
func (d *Directory) Changes(ctx context.Context, at follower.Position, wait time.Duration) (*follower.Changes, error) {
	after := at.Revision
	d.mu.Lock()
	if d.era == at.Era && d.revision <= after {
		d.wait(ctx, wait)
	}
	defer d.mu.Unlock()
	if d.away {
		return nil, errAway
	}
	if d.era != at.Era {
		return nil, follower.ErrCompacted
	}
	out := &follower.Changes{Position: d.position()}
	if d.revision <= after {
		return out, nil
	}
	if len(d.log) == 0 || d.log[0].revision > after+1 {
		return nil, follower.ErrCompacted
	}
	for _, c := range d.log {
		switch {
		case c.revision <= after:
		case c.cfg != nil:
			out.Configuration = c.cfg
		case c.up != nil:
			out.Listed = append(out.Listed, *c.up)
		case c.host != nil:
			out.Hosts = append(out.Hosts, *c.host)
		case c.hostGone != "":
			out.RemovedHosts = append(out.RemovedHosts, c.hostGone)
		default:
			out.Removed = append(out.Removed, c.gone)
		}
	}
	return out, nil
}

// wait lets go of the lock until something changes.
func (d *Directory) wait(ctx context.Context, limit time.Duration) {
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	changed := d.changed
	d.mu.Unlock()
	defer d.mu.Lock()
	select {
	case <-changed:
	case <-time.After(limit):
	case <-ctx.Done():
	}
}

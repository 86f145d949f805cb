// Package registrar announces an entry host to the others by an entry in the platform's store,
// which expires with the host's lease. Under the same lease it takes duties: the duty for a data
// centre is the right to give orders to its engines, which one host holds at a time.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/storer"
)

const (
	// leaseTTL is how long a lost host is still listed and keeps its duties. A lost heartbeat
	// and the next one take half of it; a shorter lease would expire in every pause of a process.
	leaseTTL = 3 * time.Second
	// heartbeatPeriod is the time between two heartbeats, and the timeout of each; three fit
	// into leaseTTL.
	heartbeatPeriod = 800 * time.Millisecond
	// largeFleet is the number of hosts above which those without a duty extend their lease less
	// often. A small fleet saves little by it.
	largeFleet = 32
	// largeFleetPeriod is the time between two extensions in a large fleet, and retryPeriod that
	// between two which fail; three fit into leaseTTL. retryTimeout is the timeout of each. One
	// that takes longer still extends the lease.
	largeFleetPeriod = 1200 * time.Millisecond
	retryPeriod      = 600 * time.Millisecond
	retryTimeout     = 400 * time.Millisecond
)

// extendAfter returns the time from one extension of a lease to the next.
func extendAfter(hosts int, hasDuty bool) time.Duration {
	if hosts <= largeFleet || hasDuty {
		return heartbeatPeriod
	}
	return largeFleetPeriod
}

// Entry describes a host to the others.
type Entry struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Check returns an error if a field of the entry is empty.
func (e *Entry) Check() error {
	if e.Name == "" || e.Address == "" || e.DataCentre == "" {
		return fmt.Errorf("registrar: entry of host %q lacks its name, address or data centre", e.Name)
	}
	return nil
}

// Prefixes of keys in the store.
const (
	// HostPrefix is followed by a host's name.
	HostPrefix = "sardineward/hosts/"
	// DutyPrefix is followed by a data centre. The value is the name of the host that holds
	// the duty for it.
	DutyPrefix = "sardineward/orders/"
)

// Registrar registers one host. It is safe for concurrent use; the exported fields are set
// before Run.
type Registrar struct {
	Store storer.Store
	Entry Entry
	// Now is a clock that also advances while the machine is suspended, as a lease expires
	// even if its holder does not run.
	Now func() time.Duration
	// FreeDuties lists the data centres whose duty this host should take, as no host is known to
	// hold it.
	FreeDuties func() []string
	// DutiesDisabled reports whether this host can't fulfil duties now. It gives up those that it has and takes none;
	// nil means never.
	DutiesDisabled func() bool
	// Hosts returns the number of known hosts; nil means one.
	Hosts func() int
	// Era counts how often the store was restored from a copy; nil means never. Leases and
	// duties from an earlier era are void, even if the store still has them.
	Era func() int64
	Log zerolog.Logger

	mu    sync.Mutex
	lease int64
	// leaseEra is the era in which the lease was granted.
	leaseEra int64
	// expiresAt is the earliest time at which the lease may expire. It counts from before
	// the call that extended the lease.
	expiresAt time.Duration
	// duties holds the data centres whose duty this host has taken.
	duties map[string]bool
}

// Holding reports whether this host holds the duty for a data centre. It returns false once the
// lease may have expired or the store was restored from a copy after the lease was granted.
func (r *Registrar) Holding(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duties[dataCentre] && r.leaseValid()
}

// leaseValid reports whether the lease has certainly not expired and the store was not restored
// from a copy since it was granted. r.mu must be held.
func (r *Registrar) leaseValid() bool { return r.Now() < r.expiresAt && r.leaseEra == r.currentEra() }

func (r *Registrar) currentEra() int64 {
	if r.Era == nil {
		return 0
	}
	return r.Era()
}

// HoldingAny reports whether this host holds any duty. It returns false once the lease may have
// expired or the store was restored from a copy after the lease was granted.
func (r *Registrar) HoldingAny() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.duties) > 0 && r.leaseValid()
}

// Run keeps the entry alive until ctx ends, and then removes it.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := r.Now()
		err := r.heartbeat(ctx)
		if err != nil && ctx.Err() == nil {
			r.Log.Debug().Err(err).Msg("registrar: heartbeat failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.pause(err, r.Now()-start)):
		}
	}
	r.deregister(context.WithoutCancel(ctx))
}

// period returns the time from one heartbeat to the next.
func (r *Registrar) period() time.Duration {
	hosts := 1
	if r.Hosts != nil {
		hosts = r.Hosts()
	}
	return extendAfter(hosts, r.HoldingAny())
}

// pause returns the time until the next heartbeat, after one that took some time and ended with err.
// A retry is early only while it can still save the lease.
func (r *Registrar) pause(err error, took time.Duration) time.Duration {
	period := r.period()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && period > heartbeatPeriod && r.lease != 0 && r.Now() < r.expiresAt {
		return max(0, retryPeriod-took)
	}
	return period
}

// extend extends the lease. A host with a duty must know whether that succeeded; any other waits
// for the response only as long as a retry can wait.
func (r *Registrar) extend(ctx context.Context, lease int64) error {
	if r.period() > heartbeatPeriod {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, retryTimeout)
		defer cancel()
	}
	return r.Store.KeepAlive(ctx, lease)
}

// deregister gives up all duties and revokes the lease, which removes the entry.
func (r *Registrar) deregister(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.duties = nil
	r.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatPeriod)
	defer cancel()
	if err := r.Store.Revoke(ctx, lease); err != nil {
		r.Log.Debug().Err(err).Msg("registrar: lease not revoked, it will expire")
	}
}

// heartbeat extends the lease and claims free duties. Without a valid lease it registers the host.
func (r *Registrar) heartbeat(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, heartbeatPeriod)
	defer cancel()
	start := r.Now()
	r.mu.Lock()
	lease, leaseEra := r.lease, r.leaseEra
	r.mu.Unlock()
	if lease != 0 && leaseEra != r.currentEra() {
		r.dropLease()
		lease = 0
	}
	if lease != 0 && r.dutiesDisabled() && r.HoldingAny() {
		// Duties end with the lease. The entry is written again under the next one.
		r.Log.Info().Int64("lease", lease).Msg("registrar: duties given up")
		r.deregister(call)
		r.dropLease()
		return r.register(call)
	}
	if lease != 0 {
		err := r.extend(call, lease)
		if err == nil && leaseEra != r.currentEra() {
			r.dropLease()
			return r.register(call)
		}
		if err == nil {
			r.extendLease(start)
			return r.claimDuties(call, lease)
		}
		if !errors.Is(err, storer.ErrLease) {
			return err
		}
		r.dropLease()
	}
	return r.register(call)
}

// extendLease records that the lease was extended by a call made at start.
func (r *Registrar) extendLease(start time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expiresAt = start + leaseTTL
}

// dropLease discards a lease that has expired or is void, and the duties held under it.
func (r *Registrar) dropLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.duties) > 0 {
		r.Log.Warn().Int("duties", len(r.duties)).Msg("registrar: duties lost")
	}
	r.lease, r.duties = 0, nil
}

// register obtains a lease, writes the entry under it and claims free duties.
func (r *Registrar) register(ctx context.Context) error {
	start := r.Now()
	lease, err := r.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	leaseEra := r.currentEra()
	value, err := json.Marshal(r.Entry)
	if err != nil {
		return fmt.Errorf("encoding host entry: %w", err)
	}
	if err := r.writeEntry(ctx, HostPrefix+r.Entry.Name, value, lease); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease, r.leaseEra = lease, leaseEra
	r.expiresAt = start + leaseTTL
	r.mu.Unlock()
	r.Log.Info().Int64("lease", lease).Msg("registrar: registered")
	return r.claimDuties(ctx, lease)
}

// writeEntry writes the entry, and replaces one that an earlier run of this host left.
func (r *Registrar) writeEntry(ctx context.Context, key string, value []byte, lease int64) error {
	w := storer.Write{Key: key, Value: value, Lease: lease}
	_, err := r.Store.Swap(ctx, w)
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	old, err := r.current(ctx, key, err)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	w.Expect, w.Era = old.Revision, old.Era
	_, err = r.Store.Swap(ctx, w)
	return err
}

// current returns the current entry of a key after a conflict. It reads the key only if the conflict
// does not hold its entry.
func (r *Registrar) current(ctx context.Context, key string, conflict error) (storer.Entry, error) {
	var known *storer.ConflictError
	if errors.As(conflict, &known) {
		return known.Current, nil
	}
	return r.Store.Get(ctx, key)
}

func (r *Registrar) dutiesDisabled() bool { return r.DutiesDisabled != nil && r.DutiesDisabled() }

// claimDuties takes the free duties that no host holds, or that an earlier run of this host holds.
func (r *Registrar) claimDuties(ctx context.Context, lease int64) error {
	if r.dutiesDisabled() {
		return nil
	}
	for _, dc := range r.FreeDuties() {
		w := storer.Write{Key: DutyPrefix + dc, Value: []byte(r.Entry.Name), Lease: lease}
		_, err := r.Store.Swap(ctx, w)
		if errors.Is(err, storer.ErrConflict) {
			err = r.takeOverDuty(ctx, w, err)
		}
		if errors.Is(err, storer.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		r.mu.Lock()
		if r.duties == nil {
			r.duties = make(map[string]bool)
		}
		held := r.duties[dc]
		r.duties[dc] = true
		r.mu.Unlock()
		if !held {
			r.Log.Info().Int64("lease", lease).Str("dataCentre", dc).Msg("registrar: duty taken")
		}
	}
	return nil
}

// takeOverDuty takes a duty over from an earlier run of this host, whose lease is still valid
// though its process is gone. It returns storer.ErrConflict if another host holds the duty. The
// conflict is the one that the write ended with.
func (r *Registrar) takeOverDuty(ctx context.Context, w storer.Write, conflict error) error {
	old, err := r.current(ctx, w.Key, conflict)
	if errors.Is(err, storer.ErrNotFound) || (err == nil && string(old.Value) != r.Entry.Name) {
		return storer.ErrConflict
	}
	if err != nil {
		return err
	}
	w.Expect, w.Era = old.Revision, old.Era
	_, err = r.Store.Swap(ctx, w)
	return err
}

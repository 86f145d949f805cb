// Package registrar makes an entry host known to the others by an entry in the
// platform's store that lapses with the host, and takes duties that one host
// holds at a time.
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
	// leaseTTL is how long a lost host is still listed and keeps its duty. Half of
	// it is a lost heartbeat and the next one; shorter ones end in every pause.
	leaseTTL = 3 * time.Second
	// heartbeatPeriod is the time between two heartbeats: three fit into ttl.
	heartbeatPeriod = 800 * time.Millisecond
)

// Entry is what others read of a host.
type Entry struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Check reports what is wrong in an entry.
func (e *Entry) Check() error {
	if e.Name == "" || e.Address == "" || e.DataCentre == "" {
		return fmt.Errorf("registrar: entry of host %q lacks a field", e.Name)
	}
	return nil
}

// Prefixes of the keys.
const (
	// HostPrefix is followed by a host's name.
	HostPrefix = "sardineward/hosts/"
	// DutyPrefix is followed by a data centre; the value is the name of the host
	// that gives orders to its engines.
	DutyPrefix = "sardineward/orders/"
)

// Registrar is safe for concurrent use. The fields are set before Run.
type Registrar struct {
	Store storer.Store
	Entry Entry
	// Now is a clock that goes on while the machine is suspended: a lease runs
	// on while its holder does not.
	Now func() time.Duration
	// Free lists the data centres whose duty this host is to take: nobody is
	// known to hold it.
	Free func() []string
	// Era counts how often the store came back from a copy; nil is never. Leases and
	// duties of an era that is over are void, whatever the store still holds of them.
	Era func() int64
	Log zerolog.Logger

	mu    sync.Mutex
	lease int64
	// leaseEra is the one in which the lease was granted.
	leaseEra int64
	// expiresAt is when the lease lapses at the earliest: counted from before the
	// call that prolonged it.
	expiresAt time.Duration
	// duties are the data centres for which this host gives orders.
	duties map[string]bool
}

// Holding reports whether this host surely holds the duty for a data centre.
func (r *Registrar) Holding(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duties[dataCentre] && r.leaseValid()
}

// leaseValid reports whether the lease surely runs. r.mu is held.
func (r *Registrar) leaseValid() bool { return r.Now() < r.expiresAt && r.leaseEra == r.currentEra() }

func (r *Registrar) currentEra() int64 {
	if r.Era == nil {
		return 0
	}
	return r.Era()
}

// HoldingAny reports whether this host surely holds any duty.
func (r *Registrar) HoldingAny() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.duties) > 0 && r.leaseValid()
}

// Run keeps the entry alive until ctx ends, then removes it.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.heartbeat(ctx); err != nil && ctx.Err() == nil {
			r.Log.Debug().Err(err).Msg("registrar: heartbeat failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
	r.deregister(context.WithoutCancel(ctx))
}

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
		r.Log.Debug().Err(err).Msg("registrar: lease left to lapse")
	}
}

// heartbeat prolongs the lease, or makes one and writes the entry under it.
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
	if lease != 0 {
		err := r.Store.KeepAlive(call, lease)
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

func (r *Registrar) extendLease(start time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expiresAt = start + leaseTTL
}

func (r *Registrar) dropLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.duties) > 0 {
		r.Log.Warn().Int("duties", len(r.duties)).Msg("registrar: duties lost")
	}
	r.lease, r.duties = 0, nil
}

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

// writeEntry puts the entry in place of one that an earlier start left.
func (r *Registrar) writeEntry(ctx context.Context, key string, value []byte, lease int64) error {
	old, err := r.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	_, err = r.Store.Swap(ctx, storer.Write{Key: key, Value: value, Expect: old.Revision, Era: old.Era, Lease: lease})
	return err
}

// claimDuties takes the duties that nobody has, and those of this host's last start.
func (r *Registrar) claimDuties(ctx context.Context, lease int64) error {
	for _, dc := range r.Free() {
		w := storer.Write{Key: DutyPrefix + dc, Value: []byte(r.Entry.Name), Lease: lease}
		_, err := r.Store.Swap(ctx, w)
		if errors.Is(err, storer.ErrConflict) {
			err = r.takeOverDuty(ctx, w)
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
		r.duties[dc] = true
		r.mu.Unlock()
		r.Log.Info().Int64("lease", lease).Str("dataCentre", dc).Msg("registrar: duty taken")
	}
	return nil
}

// takeOverDuty takes a duty over from an earlier start of this host, whose lease runs on
// though its process is gone.
func (r *Registrar) takeOverDuty(ctx context.Context, w storer.Write) error {
	old, err := r.Store.Get(ctx, w.Key)
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

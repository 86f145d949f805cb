// Package storer is the client of the platform's key-value service:
// compare-and-swap, leases and watches.
//
// Its errors tell a write that did not happen (ErrConflict, ErrUnavailable) from one whose response
// was lost (ErrUncertain). Callers resolve the latter by reading the key.
package storer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("storer: key not found")
	// ErrConflict means that the key has another revision than expected; nothing was written.
	ErrConflict = errors.New("storer: revision conflict")
	// ErrUnavailable means that the service did not accept the call; nothing was written.
	ErrUnavailable = errors.New("storer: service unavailable")
	// ErrUncertain means that the call was sent and its response lost: it may have taken effect,
	// or may still do so.
	ErrUncertain = errors.New("storer: answer lost")
	// ErrLease means that the lease does not exist any more.
	ErrLease = errors.New("storer: lease lapsed")
	// ErrTooLarge means that the value has more than MaxValueBytes bytes.
	ErrTooLarge = errors.New("storer: value too large")
)

// ConflictError is an ErrConflict of a service that reports the current entry of the key.
type ConflictError struct {
	// Current has revision 0 if the key is absent.
	Current Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: key %q has revision %d", ErrConflict, e.Current.Key, e.Current.Revision)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// MaxValueBytes is the largest size of a value that the service stores.
const MaxValueBytes = 1 << 20

// Entry is a key's value at a revision.
type Entry struct {
	Key string `json:"key"`
	// Value is at most MaxValueBytes long.
	Value []byte `json:"value"`
	// Revision rises with every write to the key; 0 means that the key is absent.
	Revision int64 `json:"revision"`
	// Era counts how often the service was restored from a backup, after which it assigns
	// revisions again that it assigned before; 0 if the service does not report it.
	Era int64 `json:"-"`
}

// Write is one compare-and-swap.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the revision that the key must have; 0 means that it must be absent.
	Expect int64 `json:"expect"`
	// Era is the era of the revision in Expect.
	Era int64 `json:"-"`
	// Lease is the lease that deletes the key when it expires; 0 means none.
	Lease int64 `json:"lease,omitempty"`
	// Delete removes the key instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Restorable is a Store that may be restored from a backup.
type Restorable interface {
	// Era returns the number of restores, as far as the responses so far show.
	Era() int64
}

// Store is the platform's key-value service. Every method may fail with ErrUnavailable, and every
// method that writes with ErrUncertain; a read whose response was lost fails with ErrUnavailable.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes or deletes a key if it has the expected revision, and returns the new revision.
	// It may return ErrConflict, as a ConflictError if the current entry is known, ErrLease and
	// ErrTooLarge.
	Swap(ctx context.Context, w Write) (int64, error)
	// Watch waits until the key's revision is above after and returns the entry. It returns
	// ErrNotFound when the key was deleted, and waits no longer than ctx.
	Watch(ctx context.Context, key string, after int64) (Entry, error)
	// Grant creates a lease with a time to live, and returns its id.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease for its time to live, or returns ErrLease when it has expired.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease int64) error
}

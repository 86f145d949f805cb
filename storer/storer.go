// Package storer is the client of the platform's key-value service:
// compare-and-swap, leases and watches.
//
// It tells apart a write that did not happen (ErrConflict, ErrUnavailable)
// from one whose answer was lost (ErrUncertain). Callers settle the latter by
// reading back.
package storer

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNotFound means the key has no value.
	ErrNotFound = errors.New("storer: key not found")
	// ErrConflict means the key had another revision; nothing was written.
	ErrConflict = errors.New("storer: revision conflict")
	// ErrUnavailable means the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("storer: service unavailable")
	// ErrUncertain means the call was sent and its answer lost: it may have
	// taken effect, now or later.
	ErrUncertain = errors.New("storer: answer lost")
	// ErrLease means the lease does not exist any more.
	ErrLease = errors.New("storer: lease lapsed")
	// ErrTooLarge means the value is over MaxValue.
	ErrTooLarge = errors.New("storer: value too large")
)

// MaxValue is the largest value the service holds, in bytes.
const MaxValue = 1 << 20

// Entry is a key's value at a revision.
type Entry struct {
	Key string `json:"key"`
	// Value is at most MaxValue bytes.
	Value []byte `json:"value"`
	// Revision rises with every write to the key; 0 means absent.
	Revision int64 `json:"revision"`
	// Era counts how often the service came back from a copy and gave its revisions out
	// again; 0 where it does not say.
	Era int64 `json:"-"`
}

// Write is one compare-and-swap.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the revision the key must have; 0 means it must be absent.
	Expect int64 `json:"expect"`
	// Era is the one of Expect.
	Era int64 `json:"-"`
	// Lease deletes the key when it lapses; 0 means none.
	Lease int64 `json:"lease,omitempty"`
	// Delete removes the key instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Restorable is a Store that may come back from a copy.
type Restorable interface {
	// Era counts how often it did, by the answers so far.
	Era() int64
}

// Store is the platform's key-value service. Every method may fail with
// ErrUnavailable or ErrUncertain; a read that failed is always ErrUnavailable.
type Store interface {
	// Get returns ErrNotFound when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap returns the new revision, or ErrConflict, ErrLease, ErrTooLarge.
	Swap(ctx context.Context, w Write) (int64, error)
	// Watch returns the entry once its revision is above after. It returns
	// ErrNotFound when the key was deleted, and waits no longer than ctx.
	Watch(ctx context.Context, key string, after int64) (Entry, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive prolongs a lease by its time to live, or returns ErrLease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

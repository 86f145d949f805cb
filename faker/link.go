package faker

import (
	"context"
	"time"

	"github.com/sardineward/sardineward/follower"
)

const (
	// transferWindow is how many bytes of one transfer wait in the queues of the links on its way.
	transferWindow = 64 << 10
	// dialBytes is the size of the packets that open a connection, each way.
	dialBytes = 60
)

// link is one direction of the link of a location. All bytes that pass it share one queue, in order.
type link struct {
	bytesPerSecond float64
	// freeAt is when all bytes in the queue have passed.
	freeAt time.Time
}

// direction is a location with the direction of its link.
type direction struct {
	location string
	out      bool
}

// SetBandwidth bounds what the link of a location carries in each direction, in bytes per second, which must be above 0.
// The links of other locations take no time.
func (n *Network) SetBandwidth(location string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, out := range []bool{false, true} {
		n.links[direction{location, out}] = &link{bytesPerSecond: bytesPerSecond}
	}
}

// queue adds bytes that go from some locations to others to the queues of their links, and returns when
// they have passed.
func (n *Network) queue(from, to []string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	for _, location := range from {
		at = n.links[direction{location, true}].pass(at, bytes)
	}
	for _, location := range to {
		at = n.links[direction{location, false}].pass(at, bytes)
	}
	return at
}

// pass adds bytes that arrive at a time to the queue, and returns when they have passed. A nil link takes no time.
func (l *link) pass(at time.Time, bytes int) time.Time {
	if l == nil {
		return at
	}
	if l.freeAt.Before(at) {
		l.freeAt = at
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// Transfer passes bytes from one location to another, as progress of a call to a follower.Source. It returns an error if
// ctx ends before they have passed.
func (n *Network) Transfer(ctx context.Context, from, to string, bytes int) error {
	for ; bytes > 0; bytes -= transferWindow {
		sleep(ctx, time.Until(n.queue([]string{from}, []string{to}, min(bytes, transferWindow))))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		follower.NoteProgress(ctx, min(bytes, transferWindow))
	}
	return nil
}

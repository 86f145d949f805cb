package follower

import (
	"context"
	"sync"
	"time"
)

const (
	// maxCallTime bounds a call to the source whose answer keeps arriving.
	maxCallTime = 3 * time.Second
	// longAnswerBytes is the size from which an answer counts as long: it delays the ones after it.
	longAnswerBytes = 64 << 10
	// receivingTerm is how long a peer's report that it receives a long answer counts: until it has been
	// asked again.
	receivingTerm = 800 * time.Millisecond
)

// progressKey is the key of the *progress of a call in its context.
type progressKey struct{}

// progress is the progress of one call to the source.
type progress struct {
	follower *Follower
	mu       sync.Mutex
	// timer cancels the call.
	timer *time.Timer
	// endsAt is when the call is canceled at the latest, in the time of Follower.Now.
	endsAt time.Duration
	// bytes is how much of the answer has arrived.
	bytes int
}

// NoteProgress records that a number of bytes of the answer to a call to a Source has arrived; ctx is the
// context of the call. A Source that calls it has more time for a long answer.
func NoteProgress(ctx context.Context, bytes int) {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return
	}
	now := p.follower.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += bytes
	if p.timer.Stop() {
		p.timer.Reset(min(responseSlack, p.endsAt-now))
	}
	if p.bytes >= longAnswerBytes {
		p.follower.receivingAt.Store(int64(now))
	}
}

// withProgress returns a context for a call to the source that may wait for a change. It is canceled if no part of the
// answer arrives within wait and responseSlack, if the answer then stalls for responseSlack, or after maxCallTime.
func (f *Follower) withProgress(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	p := &progress{follower: f, timer: time.AfterFunc(wait+responseSlack, cancel), endsAt: f.Now() + maxCallTime}
	return context.WithValue(ctx, progressKey{}, p), func() {
		p.timer.Stop()
		f.receivingAt.Store(0)
		cancel()
	}
}

// receiving reports whether a long answer of the source is arriving.
func (f *Follower) receiving() bool {
	at := f.receivingAt.Load()
	return at > 0 && f.Now()-time.Duration(at) < responseSlack
}

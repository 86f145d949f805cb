package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/sardineward/sardineward/balancer"
)

const (
	// watchPeriod is the time between two looks for silent upstreams.
	watchPeriod = 40 * time.Millisecond
	// silence is how long no stream over an upstream may get an event before
	// it is asked: four events of one stream, and well under the pause that
	// callers expect at most.
	silence = 120 * time.Millisecond
	// askTimeout is how long an upstream has to take a connection.
	askTimeout = 80 * time.Millisecond
	// oversleep is how late a look may be; after a later one this host itself
	// was held up, and silence says nothing of upstreams.
	oversleep = 40 * time.Millisecond
)

// Watch looks for upstreams that went silent, until ctx ends. One that does not
// take a connection is out of use, and every stream over it goes on elsewhere.
// Otherwise each such stream would stand still until its engine gives up
// waiting, which takes seconds.
func (f *Forwarder) Watch(ctx context.Context) {
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	before := f.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := f.Now()
		late := now-before > watchPeriod+oversleep
		before = now
		if late {
			continue
		}
		for _, h := range f.Balancer.Silent(now, silence) {
			f.ask(ctx, h)
		}
	}
}

// ask connects to an upstream once at a time.
func (f *Forwarder) ask(ctx context.Context, h balancer.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probing == nil {
		f.probing = make(map[string]bool)
	}
	if f.probing[h.ID] {
		return
	}
	f.probing[h.ID] = true
	go func() {
		if !f.connects(ctx, h.Address) && ctx.Err() == nil {
			f.out(h)
		}
		// One that took the connection is not asked again at once.
		time.Sleep(silence)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.probing, h.ID)
	}()
}

func (f *Forwarder) connects(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	dial := f.Pool.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// out takes an upstream out of use and moves the streams over it.
func (f *Forwarder) out(h balancer.Hop) {
	if f.Balancer.Out(f.Now(), h.ID) {
		f.Log.Warn().Str("upstream", h.ID).Str("address", h.Address).Msg("forwarder: silent upstream out")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.streams {
		for _, hop := range a.lease.Hops {
			if hop.ID == h.ID {
				a.cancel(errMoved)
			}
		}
	}
}

func (f *Forwarder) track(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams == nil {
		f.streams = make(map[*attempt]struct{})
	}
	f.streams[a] = struct{}{}
}

func (f *Forwarder) untrack(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.streams, a)
}

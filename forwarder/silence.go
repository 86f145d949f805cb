package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/sardineward/sardineward/balancer"
)

const (
	// watchPeriod is the time between two looks for silent upstreams.
	watchPeriod = 20 * time.Millisecond
	// askRest is how long an upstream that took a connection is not asked
	// again.
	askRest = 120 * time.Millisecond
	// slowStart is how long a stream may wait for its first event before the
	// upstreams of its path are asked: twice the usual.
	slowStart = 250 * time.Millisecond
	// askTimeout is how long an upstream has to take a connection.
	askTimeout = 80 * time.Millisecond
	// askAgain is the time between two questions to a dead upstream.
	askAgain = 400 * time.Millisecond
	// oversleep is how late a look may be; after a later one this host itself
	// was held up, and silence says nothing of upstreams.
	oversleep = 40 * time.Millisecond
	// repathTimeout bounds one order to change a path.
	repathTimeout = 150 * time.Millisecond
)

// Engines changes the path of running requests.
type Engines interface {
	// Repath orders the first upstream of a path to go on with a request over
	// other hops. An error means that it did not, or may not have.
	Repath(ctx context.Context, requestID string, hops []balancer.Hop) error
}

// Watch looks for silent upstreams until ctx ends. One that does not take a
// connection is out of use until it does, and every stream over it goes on
// elsewhere. Otherwise each such stream would stand still until its engine gives
// up waiting, which takes seconds.
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
		for _, h := range f.Balancer.Silent(now) {
			f.ask(ctx, h, askRest)
		}
		for _, h := range f.slow(now) {
			f.ask(ctx, h, slowStart)
		}
		for _, h := range f.Balancer.Dead() {
			f.ask(ctx, h, askAgain)
		}
	}
}

// slow lists the upstreams that may hold up streams which wait for their first
// event.
func (f *Forwarder) slow(now time.Duration) []balancer.Hop {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []balancer.Hop
	for a := range f.streams {
		if !a.begun.Load() && now-a.began > slowStart {
			out = append(out, f.Balancer.Stuck(a.lease, a.began)...)
		}
	}
	return out
}

// ask connects to an upstream once at a time, and not again before rest.
func (f *Forwarder) ask(ctx context.Context, h balancer.Hop, rest time.Duration) {
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
		alive := f.connects(ctx, h.Address)
		if ctx.Err() == nil {
			f.learn(ctx, h, alive)
		}
		time.Sleep(rest)
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

// learn notes whether an upstream lives, and moves the streams over one that
// does not.
func (f *Forwarder) learn(ctx context.Context, h balancer.Hop, alive bool) {
	if !f.Balancer.SetDead(f.Now(), h.ID, !alive) {
		return
	}
	if alive {
		f.Log.Info().Str("upstream", h.ID).Str("address", h.Address).Msg("forwarder: upstream back")
		return
	}
	for _, other := range f.Balancer.Suspects(f.Now(), h.ID) {
		f.ask(ctx, other, askRest)
	}
	moved := f.over(h.ID)
	f.Log.Warn().Str("upstream", h.ID).Str("address", h.Address).Int("streams", len(moved)).Msg("forwarder: silent upstream out")
	for _, a := range moved {
		go f.move(ctx, a, h)
	}
}

// over lists the streams whose path has an upstream.
func (f *Forwarder) over(id string) []*attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*attempt
	for a := range f.streams {
		for _, hop := range f.Balancer.Path(a.lease) {
			if hop.ID == id {
				out = append(out, a)
			}
		}
	}
	return out
}

// move has a stream go on over another path. Where its first upstream lives, it
// is told to change the path: the others keep what they have read, and no
// request is sent again. Else the stream is resumed as a new request.
func (f *Forwarder) move(ctx context.Context, a *attempt, dead balancer.Hop) {
	if f.Balancer.Path(a.lease)[0].ID != dead.ID {
		if hops := f.Balancer.Repath(f.Now(), a.lease); hops != nil {
			ctx, cancel := context.WithTimeout(ctx, repathTimeout)
			defer cancel()
			err := f.Engines.Repath(ctx, a.id, hops)
			f.Log.Info().Err(err).Str("requestId", a.id).Str("dead", dead.ID).Str("hops", FormatPath(hops)).Msg("forwarder: path changed")
			if err == nil {
				a.moves.Add(1)
				return
			}
		}
	}
	a.cancel(errMoved)
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

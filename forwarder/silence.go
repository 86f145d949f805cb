package forwarder

import (
	"context"
	"errors"
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
	// askAgain is the time between two rounds of questions to dead upstreams,
	// askedAgain how many of each data centre are asked in one.
	askAgain   = 400 * time.Millisecond
	askedAgain = 4
	// stuckStart and stuckGap are how long a stream may wait for its first and
	// for a further event before its first upstream is asked what holds it up:
	// some upstreams take connections and don't reach each other.
	stuckStart = 400 * time.Millisecond
	stuckGap   = 200 * time.Millisecond
	// stallRest is the time between two such questions to one upstream: its
	// answer is some hundred milliseconds old.
	stallRest = 250 * time.Millisecond
	// stallTimeout bounds one.
	stallTimeout = 150 * time.Millisecond
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
	// Stalled asks an upstream which of the requests that it is the first to run
	// wait for another one.
	Stalled(ctx context.Context, address string) ([]Stall, error)
}

// Stall is a request that waits for an upstream of its path.
type Stall struct {
	RequestID string
	// Address is the upstream's.
	Address string
}

// Watch looks for silent upstreams until ctx ends. One that does not take a
// connection is out of use until it does, and every stream over it goes on
// elsewhere. Otherwise each such stream would stand still until its engine gives
// up waiting, which takes seconds.
func (f *Forwarder) Watch(ctx context.Context) {
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	before := f.Now()
	var asked time.Duration
	turn := 0
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
		for _, h := range f.stuck(now) {
			f.askStalled(ctx, h)
		}
		if now-asked < askAgain {
			continue
		}
		asked = now
		for _, h := range f.Balancer.Dead(turn, askedAgain) {
			f.ask(ctx, h, askRest)
		}
		turn++
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

// stuck lists the first upstreams of streams that wait too long.
func (f *Forwarder) stuck(now time.Duration) []balancer.Hop {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool)
	var out []balancer.Hop
	for a := range f.streams {
		limit := stuckStart
		if a.begun.Load() {
			limit = stuckGap
		}
		if now-time.Duration(a.last.Load()) < limit {
			continue
		}
		if first := a.lease.First; !seen[first.ID] {
			seen[first.ID] = true
			out = append(out, first)
		}
	}
	return out
}

// askStalled asks an upstream what its requests wait for, and moves the streams
// over those that it names.
func (f *Forwarder) askStalled(ctx context.Context, h balancer.Hop) {
	if !f.beginProbe("stalled " + h.ID) {
		return
	}
	if !f.Balancer.MayAsk(f.Now(), h.ID) {
		go f.endProbe("stalled "+h.ID, stallRest)
		return
	}
	go func() {
		defer f.endProbe("stalled "+h.ID, stallRest)
		ctx, cancel := context.WithTimeout(ctx, stallTimeout)
		defer cancel()
		stalls, err := f.Engines.Stalled(ctx, h.Address)
		if err != nil {
			f.Log.Debug().Err(err).Str("upstream", h.ID).Msg("forwarder: stalled requests not learnt")
			return
		}
		for _, s := range stalls {
			f.stalledBy(ctx, s)
		}
	}()
}

// stalledBy draws what it tells that a request waits for an upstream. On a path
// within one data centre that upstream is out of reach, and all streams over it
// go on elsewhere. On a path over several the way between them may be cut, and
// which upstream is named depends on the side that was asked; so only this
// stream is moved, and the links count as slow as it has waited.
func (f *Forwarder) stalledBy(ctx context.Context, s Stall) {
	a := f.attempt(s.RequestID)
	id := f.Balancer.ByAddress(s.Address)
	if a == nil || id == "" {
		return
	}
	h := balancer.Hop{ID: id, Address: s.Address}
	ctx = context.WithoutCancel(ctx)
	if f.Balancer.Crosses(a.lease) {
		now := f.Now()
		f.Balancer.First(a.lease, now, now-time.Duration(a.last.Load()))
		f.move(ctx, a, h)
		return
	}
	if !f.Balancer.Out(f.Now(), id) {
		return
	}
	moved := f.over(id)
	f.Log.Warn().Str("upstream", id).Str("address", s.Address).Int("streams", len(moved)).Msg("forwarder: upstream out of reach of others")
	for _, a := range moved {
		go f.move(ctx, a, h)
	}
}

// attempt returns the stream of a request that is under way, or nil.
func (f *Forwarder) attempt(requestID string) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.streams {
		if a.id == requestID {
			return a
		}
	}
	return nil
}

// beginProbe reports whether a probe may start: one of each kind at a time.
func (f *Forwarder) beginProbe(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probing == nil {
		f.probing = make(map[string]bool)
	}
	if f.probing[name] {
		return false
	}
	f.probing[name] = true
	return true
}

// endProbe lets the next one start after rest.
func (f *Forwarder) endProbe(name string, rest time.Duration) {
	time.Sleep(rest)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.probing, name)
}

// ask connects to an upstream once at a time, and not again before rest.
func (f *Forwarder) ask(ctx context.Context, h balancer.Hop, rest time.Duration) {
	if !f.beginProbe(h.ID) {
		return
	}
	go func() {
		defer f.endProbe(h.ID, rest)
		asked := f.Now()
		err := f.connect(ctx, h.Address)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			f.heard.Store(int64(f.Now()))
			f.learn(ctx, h, nil)
		case !isTimeout(err) || f.heard.Load() >= int64(asked):
			f.learn(ctx, h, err)
		default:
			// Nothing at all came since: this host's own link is full or cut.
			f.Log.Debug().Err(err).Str("upstream", h.ID).Msg("forwarder: no answer, as from all others")
		}
	}()
}

// isTimeout reports whether nobody answered, in contrast to a refusal.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &t) && t.Timeout())
}

func (f *Forwarder) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	dial := f.Pool.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// learn notes whether an upstream lives, and moves the streams over one that
// does not. down is why it does not.
func (f *Forwarder) learn(ctx context.Context, h balancer.Hop, down error) {
	news := f.Balancer.SetDead(f.Now(), h.ID, down != nil)
	if down != nil && !isTimeout(down) {
		f.Balancer.Ended(h.ID)
	}
	if !news {
		return
	}
	if down == nil {
		f.Log.Info().Str("upstream", h.ID).Str("address", h.Address).Msg("forwarder: upstream back")
		for _, other := range f.Balancer.DeadBeside(h.ID) {
			f.ask(ctx, other, askRest)
		}
		return
	}
	for _, other := range f.Balancer.Suspects(f.Now(), h.ID) {
		f.ask(ctx, other, askRest)
	}
	moved := f.over(h.ID)
	f.Log.Warn().Str("upstream", h.ID).Str("address", h.Address).Int("streams", len(moved)).Msg("forwarder: silent upstream out")
	for _, a := range moved {
		if !isTimeout(down) && !a.begun.Load() {
			f.strike(a.id, a.fingerprint, h)
		}
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

// move has a stream go on over another path, without the upstreams of its path that
// are lost. Without its first one it is resumed as a new request at once.
func (f *Forwarder) move(ctx context.Context, a *attempt, lost balancer.Hop) {
	if a.lease.First.ID == lost.ID {
		a.cancel(errMoved)
		return
	}
	if !a.moving.begin(lost) {
		return
	}
	for again := true; again; {
		f.moveOnce(ctx, a, lost)
		lost, again = a.moving.end(f.Balancer.Path(a.lease))
	}
}

// moveOnce has the first upstream change the path: the others keep what they have read,
// and no request is sent again. Where that would hold the stream up for too long, or
// can't be done, it is resumed as a new request.
func (f *Forwarder) moveOnce(ctx context.Context, a *attempt, lost balancer.Hop) {
	if f.Balancer.Elsewhere(f.Now(), a.lease, lost.ID) && a.prepay() {
		a.cancel(errMoved)
		return
	}
	if hops := f.Balancer.Repath(f.Now(), a.lease, lost.ID); hops != nil {
		ctx, cancel := context.WithTimeout(ctx, repathTimeout)
		defer cancel()
		err := f.Engines.Repath(ctx, a.id, hops)
		f.Log.Info().Err(err).Str("requestId", a.id).Str("dead", lost.ID).Str("hops", FormatPath(hops)).Msg("forwarder: path changed")
		if err == nil {
			a.moves.Add(1)
			return
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

// Package pacer learns which engines are slower than their kind of accelerator
// is, from what they report of themselves.
//
// Nothing that a host sees of a path of a dozen engines tells which of them is slow.
// So the engines of paths on which events came late are asked, and hosts tell each
// other what they learnt with what they have in flight.
package pacer

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
)

const (
	// period is the time between two looks for engines to ask.
	period = 250 * time.Millisecond
	// timeout bounds one: a hundred times the usual.
	timeout = 200 * time.Millisecond
	// slowest is the highest pace that is believed; a report above it is taken
	// for a mistake.
	slowest = 1000.0
)

// Engines is the seam to the engines.
type Engines interface {
	// Pace returns how many times as long as usual an engine takes for its work;
	// 1 is as declared.
	Pace(ctx context.Context, address string) (float64, error)
}

// Pacer asks engines. The fields are set before Run.
type Pacer struct {
	Balancer *balancer.Balancer
	Engines  Engines
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	Log zerolog.Logger
}

// Run asks until ctx ends.
func (p *Pacer) Run(ctx context.Context) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, h := range p.Balancer.Ask(p.Now()) {
			go p.ask(ctx, h)
		}
	}
}

func (p *Pacer) ask(ctx context.Context, u balancer.Hop) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pace, err := p.Engines.Pace(ctx, u.Address)
	if err != nil {
		p.Log.Debug().Err(err).Str("upstream", u.ID).Msg("pacer: pace not learnt")
		return
	}
	if pace <= 0 || pace > slowest {
		p.Log.Warn().Float64("pace", pace).Str("upstream", u.ID).Str("address", u.Address).Msg("pacer: impossible pace reported")
		return
	}
	if p.Balancer.SetPace(p.Now(), u.ID, pace) {
		p.Log.Info().Float64("pace", pace).Str("upstream", u.ID).Str("address", u.Address).Msg("pacer: pace changed")
	}
}

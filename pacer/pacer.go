// Package pacer finds out which engines are slower than their kind of accelerator should be, by
// querying them.
//
// Nothing that a host observes of a path of a dozen engines shows which of them is slow. So the
// engines of paths with late events are queried, and hosts exchange the answers together with
// their usage reports.
package pacer

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
)

const (
	// queryInterval is the time between two checks for engines to query.
	queryInterval = 250 * time.Millisecond
	// queryTimeout bounds one query. It is a hundred times the usual duration.
	queryTimeout = 200 * time.Millisecond
	// maxPace is the highest pace that is accepted; a higher one is taken for an error.
	maxPace = 1000.0
)

// Engines queries engines for their pace.
type Engines interface {
	// Pace returns by what factor an engine is slower than usual; 1 is the declared speed.
	Pace(ctx context.Context, u balancer.Hop) (float64, error)
}

// Pacer queries engines. Set the fields before Run.
type Pacer struct {
	Balancer *balancer.Balancer
	Engines  Engines
	// Now reads a clock that keeps running while the machine is suspended.
	Now func() time.Duration
	Log zerolog.Logger
}

// Run queries engines until ctx ends.
func (p *Pacer) Run(ctx context.Context) {
	tick := time.NewTicker(queryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, h := range p.Balancer.PaceQueries(p.Now()) {
			go p.queryPace(ctx, h)
		}
	}
}

func (p *Pacer) queryPace(ctx context.Context, u balancer.Hop) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	pace, err := p.Engines.Pace(ctx, u)
	if err != nil {
		p.Log.Debug().Err(err).Str("upstream", u.ID).Msg("pacer: pace query failed")
		return
	}
	if pace <= 0 || pace > maxPace {
		p.Log.Warn().Float64("pace", pace).Str("upstream", u.ID).Str("address", u.Address).Msg("pacer: impossible pace reported")
		return
	}
	if p.Balancer.SetPace(p.Now(), u.ID, pace) {
		p.Log.Info().Float64("pace", pace).Str("upstream", u.ID).Str("address", u.Address).Msg("pacer: pace changed")
	}
}

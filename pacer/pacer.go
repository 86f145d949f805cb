// Package pacer learns which engines are slower than their kind of accelerator
// is, from what they report of themselves.
//
// The load it answers: some engines of a fleet take many times as long for each
// step. Every stream over one of them gets its events that much later, requests
// pile up before it, and nothing that a host sees of a path of a dozen tells which
// one it is. The hosts of a data centre share the engines there among them, so
// that each engine is asked by one, and tell each other what they learnt with
// what they have in flight.
package pacer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
)

const (
	// period is the time between two questions to an engine.
	period = time.Second
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
	// Self is this host's name, DataCentre where it is.
	Self, DataCentre string
	Balancer         *balancer.Balancer
	Engines          Engines
	// Hosts returns the names of the other hosts of the data centre.
	Hosts func() []string
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
		hosts := p.Hosts()
		for _, u := range p.Balancer.Listed() {
			if u.DataCentre == p.DataCentre && u.Holds.Len() > 0 && p.mine(hosts, u.ID) {
				go p.ask(ctx, u)
			}
		}
	}
}

// mine reports whether this host asks an upstream: the one of all hosts of the
// data centre that hashes highest with it, so that few change when one is lost.
func (p *Pacer) mine(hosts []string, upstream string) bool {
	own := xxhash.Sum64String(p.Self + " " + upstream)
	for _, h := range hosts {
		if xxhash.Sum64String(h+" "+upstream) > own {
			return false
		}
	}
	return true
}

func (p *Pacer) ask(ctx context.Context, u balancer.Upstream) {
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

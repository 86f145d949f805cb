package balancer

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// pipeShare is the share of the time of a pipe between two data centres that all hosts
	// together may fill with prompts while their own data centres are full. Streams over the
	// pipe then wait little.
	pipeShare = 0.3
	// pipeBurst is the pipe time that a host may take at once, enough for some long prompts.
	pipeBurst = 200 * time.Millisecond
)

// pipeBudgets limits how much of each pipe this host uses. All hosts have an equal share, so that
// they need no messages to agree.
type pipeBudgets struct {
	// limiters count microseconds of a pipe's time.
	limiters map[[2]string]*rate.Limiter
}

// available reports whether some pipe may have time left in this host's share.
func (p *pipeBudgets) available(now time.Duration) bool {
	if len(p.limiters) == 0 {
		return true
	}
	for _, l := range p.limiters {
		if l.TokensAt(asTime(now)) >= 1 {
			return true
		}
	}
	return false
}

// take reserves the time of a transfer on each pipe that a path crosses, or on none of them.
func (p *pipeBudgets) take(now time.Duration, crossed map[[2]string]int, transfer time.Duration, hosts int) bool {
	if p.limiters == nil {
		p.limiters = make(map[[2]string]*rate.Limiter)
	}
	perHost := rate.Limit(pipeShare * 1e6 / float64(hosts))
	for pair, times := range crossed {
		l := p.limiters[pair]
		if l == nil {
			l = rate.NewLimiter(perHost, int(pipeBurst.Microseconds()))
			p.limiters[pair] = l
		}
		l.SetLimitAt(asTime(now), perHost)
		if l.TokensAt(asTime(now)) < float64(times)*float64(transfer.Microseconds()) {
			return false
		}
	}
	for pair, times := range crossed {
		p.limiters[pair].AllowN(asTime(now), times*int(transfer.Microseconds()))
	}
	return true
}

func asTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

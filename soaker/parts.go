package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sardineward/sardineward/faker"
)

const (
	// upstreamRestart is how long an upstream that a request has crashed is down.
	upstreamRestart = 1500 * time.Millisecond
	// crashingShare is one in how many prompts has the crashing part.
	crashingShare = 4
	// maxLateParts is how many requests with a part may reach upstreams too late by partRule.
	maxLateParts = 3
)

var partRule = faker.PartRule{Crashes: 5, Window: settleTime}

// drawParts draws the parts of the prompt of a stream.
func (r *Run) drawParts(rnd *rand.Rand, c *call) {
	if !strings.HasPrefix(c.path, "/stream/") {
		return
	}
	r.mu.Lock()
	part := r.crashingPart
	r.mu.Unlock()
	c.isCrashing = part != "" && rnd.IntN(crashingShare) == 0
	if !c.isCrashing {
		part = fmt.Sprint("a", rnd.IntN(crashingShare))
		if isSeries(r.Seed) {
			part = fmt.Sprint("a", rnd.IntN(seriesParts))
		}
	}
	c.parts = fmt.Sprintf("1ead:40,%s:200,%s:700", part, c.id)
	if isSeries(r.Seed) {
		c.parts = fmt.Sprintf("%s:200,%s:700", part, c.id)
	}
}

// crashByPart lets some prompts have a part that crashes each upstream which begins an answer.
func crashByPart(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	part := fmt.Sprintf("%s%x", faker.CrashingPart, rnd.Uint32())
	lasts *= 3
	r.recordFault("part "+part, -1, lasts+2*settleTime, false)
	r.setCrashingPart(part)
	time.Sleep(lasts)
	r.setCrashingPart("")
}

func (r *Run) setCrashingPart(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashingPart = part
}

// restartCrashed makes upstreams that requests crash start again, as other incarnations.
func (r *Run) restartCrashed() {
	for _, u := range r.cluster.upstreams {
		u.stage.Crash = func() {
			u.crash()
			time.Sleep(upstreamRestart)
			r.restartUpstream(u)
		}
	}
}

// restartUpstream starts an upstream that crashed again, as another incarnation.
func (r *Run) restartUpstream(u *upstream) {
	r.history.mu.Lock()
	now := time.Now()
	u.StartedAt, u.restarts = now.UnixMilli(), append(u.restarts, now)
	r.history.mu.Unlock()
	if err := u.serve(); err != nil {
		r.Log.Error().Err(err).Str("upstream", u.ID).Msg("soaker: cannot start upstream")
	}
}

// checkParts reports parts of prompts that crash upstreams and go on reaching them, from hosts that were
// connected all the while.
func (h *history) checkParts(cl *cluster, report func(string, ...any)) {
	hosts := h.hostsByRequest()
	stages := make([]*faker.Stage, len(cl.upstreams))
	for n, u := range cl.upstreams {
		stages[n] = u.stage
	}
	all, counted := partRule.Late(stages)
	for part, list := range all {
		var late []string
		for _, one := range list {
			if host, ok := hosts[one.RequestID]; ok && h.connected(host, one.At.Add(-settleTime), one.At) {
				late = append(late, fmt.Sprintf("%s after %v", one.RequestID, one.At.Sub(counted[part])))
			}
		}
		if len(late) > maxLateParts {
			report("%d requests with part %s reached upstreams too late, want at most %d: %s", len(late), part, maxLateParts, strings.Join(late, ", "))
		}
	}
}

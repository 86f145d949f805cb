package soaker

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

// checkCuts reports requests whose connection broke before their deadline without a whole answer or a refusal,
// although no upstream had a fault. A host that is starved, paused or behind a narrow link has to answer them; only the
// end of its process is an excuse.
func (h *history) checkCuts(report func(string, ...any)) {
	for i := range h.calls {
		c := &h.calls[i]
		if c.err == nil || (c.status != 0 && c.status != http.StatusOK) || !c.ended.Before(c.sent.Add(requestDeadline)) {
			continue
		}
		// A connection that was refused reached no process.
		if errors.Is(c.err, syscall.ECONNREFUSED) || h.killed(c.host, c.sent, c.ended) || !h.upstreamsLived(c.sent, c.ended) {
			continue
		}
		report("%s %s at host %d was cut after %v and %d bytes, with all upstreams alive: %v", c.path, c.id, c.host, c.ended.Sub(c.sent).Round(time.Millisecond), len(c.body), c.err)
	}
}

// checkConnectionError reports a request that failed without a response during a planned operation
// on its host, when no unplanned fault could have caused it.
func (h *history) checkConnectionError(c *call, report func(string, ...any)) {
	if !h.undisturbed(c.host, c.sent, c.ended) {
		return
	}
	// With most hosts stopped at once (seed 49: three of four) the load balancer uses all of them,
	// also one that has ended and not started again. A refused connection reached no process.
	if c.fallback && errors.Is(c.err, syscall.ECONNREFUSED) {
		return
	}
	for _, i := range h.incidents {
		if i.planned && i.host == c.host && c.sent.Before(i.to) && c.ended.After(i.from) {
			report("%s %s was cut off by %s: %v", c.path, c.id, i.fault, c.err)
		}
	}
}

// upstreamsLived reports whether no unplanned fault of an upstream lay between two times or ended less than settleTime
// before.
func (h *history) upstreamsLived(from, to time.Time) bool { return h.undisturbed(allHosts, from, to) }

// killed reports whether a host's process was killed between two times.
func (h *history) killed(host int, from, to time.Time) bool {
	for _, i := range h.incidents {
		if i.host == host && i.fault == "kill" && i.from.Before(to) && i.to.After(from) {
			return true
		}
	}
	return false
}

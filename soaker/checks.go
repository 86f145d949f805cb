package soaker

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardineward/sardineward/faker"
)

// call is one request as its caller saw it.
type call struct {
	id, path, key string
	// parts lists the parts of its prompt, isCrashing is set if one of them crashes upstreams.
	parts       string
	isCrashing  bool
	host        int
	sent, ended time.Time
	// earlier is set when the host ran the earlier version of the program.
	earlier bool
	// fallback is set when the load balancer also used hosts that were not ready.
	fallback bool
	// status is 0 when no response came; body is as much as was received.
	status int
	// retryAfter is the wait that a refusal asked for; 0 if none.
	retryAfter time.Duration
	body       string
	err        error
}

// incident is an injected fault and the time for which it lasted.
type incident struct {
	from, to time.Time
	// fault is the kind of the fault, host the number of the host that it affects; -1 is all.
	fault string
	host  int
	// planned is set for operations that operators plan, such as a stop.
	planned bool
}

// history records the requests and faults of a run, for the checks at the end.
type history struct {
	mu        sync.Mutex
	calls     []call
	incidents []incident
	// revokedAt and leftAt are when the store accepted that a key was revoked or an upstream
	// began to leave.
	revokedAt, leftAt map[string]time.Time
	// reversedAt is when the store accepted that the ranks were reversed; zero before.
	reversedAt time.Time
	// badExits describes the planned stops that took too long or failed.
	badExits []string
}

func newHistory() *history {
	return &history{revokedAt: make(map[string]time.Time), leftAt: make(map[string]time.Time)}
}

func (h *history) addCall(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) addIncident(i incident) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incidents = append(h.incidents, i)
}

// allHosts is the host of an incident that may affect all hosts.
const allHosts = -1

// settleTime is how long after its end a fault may still have effects.
const settleTime = 3 * time.Second

// undisturbed reports whether no unplanned fault could affect a host between two times, settleTime
// after the fault included.
func (h *history) undisturbed(host int, from, to time.Time) bool {
	for _, i := range h.incidents {
		if !i.planned && (i.host < 0 || i.host == host) && i.from.Before(to) && i.to.Add(settleTime).After(from) {
			return false
		}
	}
	return true
}

// connected reports whether no fault of a host's process or of its link to the store, planned ones
// included, lay between two times or ended less than settleTime before.
func (h *history) connected(host int, from, to time.Time) bool {
	for _, i := range h.incidents {
		if i.host == host && i.from.Before(to) && i.to.Add(settleTime).After(from) {
			return false
		}
	}
	return true
}

// check returns a description of each violation of a guarantee.
func (h *history) check(cl *cluster) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	runs := make(map[string]int)
	for _, u := range cl.upstreams {
		for _, s := range u.stage.Received() {
			if s.Executed {
				runs[s.RequestID]++
			}
			if s.Key != "" {
				report("upstream %s received the caller's key with request %s", u.ID, s.RequestID)
			}
		}
	}
	for i := range h.calls {
		h.checkCall(&h.calls[i], runs[h.calls[i].id], report)
	}
	h.checkMovedRoute(report)
	h.checkLeaving(cl, report)
	h.checkLimits(cl, report)
	h.checkBackoffs(cl, report)
	h.checkLeavingHeader(cl, report)
	h.checkUrgency(cl, report)
	h.checkRetries(cl, report)
	h.checkRanks(report)
	h.checkParts(cl, report)
	h.checkSoundParts(report)
	h.checkCuts(report)
	for _, text := range h.badExits {
		report("%s", text)
	}
	return out
}

// countUndisturbed counts the undisturbed requests with keys that were never revoked, and those of
// them that were answered in full. It calls unanswered with each of the others. Requests sent in a fallback don't
// count.
func (h *history) countUndisturbed(unanswered func(c *call)) (sent, answered int) {
	for i := range h.calls {
		c := &h.calls[i]
		// The ranked service is overloaded on purpose; checkRanks covers it. Streams that must not run twice break on purpose.
		if _, gone := h.revokedAt[c.key]; gone || strings.HasPrefix(c.path, oncePrefix) || c.fallback || c.isCrashing || rankOf(c.path) >= 0 || !h.undisturbed(c.host, c.sent, c.ended) {
			continue
		}
		sent++
		if c.status == http.StatusOK && c.err == nil {
			answered++
		} else {
			unanswered(c)
		}
	}
	return sent, answered
}

// checkCall reports violations by a single request; runs is how often upstreams ran it.
func (h *history) checkCall(c *call, runs int, report func(string, ...any)) {
	if mustRunOnce(c.path) && runs > 1 {
		report("%s %s ran %d times, want at most once", c.path, c.id, runs)
	}
	switch c.status {
	case 503, 429, 421, 408:
		if runs > 0 && !strings.HasPrefix(c.path, "/look/") && !strings.HasPrefix(c.path, "/moving/") {
			report("%s %s was refused with %d as not run, but ran", c.path, c.id, c.status)
		}
	case 200:
		h.checkBody(c, report)
	}
	if at, ok := h.revokedAt[c.key]; ok && c.sent.After(at.Add(revokeTimeout)) && runs > 0 {
		report("request %s ran with %s, sent %v after the key was revoked", c.id, c.key, c.sent.Sub(at))
	}
	if c.status == 0 && c.err != nil {
		h.checkConnectionError(c, report)
	}
}

// checkBody reports an answer that is incomplete or belongs to another request. A stream may break
// off with an error, but the events before must be the right ones.
func (h *history) checkBody(c *call, report func(string, ...any)) {
	if strings.HasPrefix(c.path, "/stream/") {
		rest := c.body
		for n := 1; rest != ""; n++ {
			event := fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
			var ok bool
			if rest, ok = strings.CutPrefix(rest, event); !ok {
				if c.err == nil {
					report("stream %s: want event %d, got %.40q", c.id, n, rest)
				}
				return
			}
		}
		if c.err == nil && !strings.HasSuffix(c.body, "event 20\n\n") {
			report("stream %s ended without an error, but incomplete, after %d bytes", c.id, len(c.body))
		}
		return
	}
	if c.err == nil && !strings.HasSuffix(c.body, " to "+c.id) {
		report("request %s got the wrong or an incomplete answer: %q", c.id, c.body)
	}
}

// checkMovedRoute reports a host that went back to an older configuration: once a host has answered
// from the new service of a moved route, it must not answer from the old one.
func (h *history) checkMovedRoute(report func(string, ...any)) {
	// slack is how long after its first answer from the new service a host is not checked.
	const slack = 250 * time.Millisecond
	first := make(map[int]time.Time)
	for _, c := range h.calls {
		if c.status == 200 && strings.HasPrefix(c.body, "answer of other") {
			if at, ok := first[c.host]; !ok || c.ended.Before(at) {
				first[c.host] = c.ended
			}
		}
	}
	for _, c := range h.calls {
		at, ok := first[c.host]
		if !ok || !strings.HasPrefix(c.path, "/moving/") || c.status != 200 || !strings.HasPrefix(c.body, "answer of desk") {
			continue
		}
		if c.sent.After(at.Add(slack)) && !h.restarted(c.host, at, c.sent) {
			report("request %s: host %d went back to an older configuration", c.id, c.host)
		}
	}
}

// restarted reports whether a host was killed or stopped between two times.
func (h *history) restarted(host int, from, to time.Time) bool {
	for _, i := range h.incidents {
		if i.host == host && (i.fault == "kill" || i.fault == "stop") && i.from.Before(to) && i.to.After(from) {
			return true
		}
	}
	return false
}

// engineCallPrefix starts the paths of orders and queries.
const engineCallPrefix = "/api/"

// checkLeaving reports requests that an upstream got more than leaveTimeout after it began to leave,
// from hosts that were connected all the while.
func (h *history) checkLeaving(cl *cluster, report func(string, ...any)) {
	hosts := h.hostsByRequest()
	for _, u := range cl.upstreams {
		at, ok := h.leftAt[u.ID]
		if !ok {
			continue
		}
		at = h.writtenAt(at)
		for _, s := range u.stage.Received() {
			if _, sent := hosts[s.RequestID]; !sent {
				// Hosts query an upstream about the streams that it still runs.
				if !strings.HasPrefix(s.Target, engineCallPrefix) {
					report("upstream %s got request %q to %s, which no caller sent", u.ID, s.RequestID, s.Target)
				}
				continue
			}
			if s.At.After(at.Add(leaveTimeout)) && h.connected(hosts[s.RequestID], at.Add(-settleTime), s.At) {
				report("upstream %s got request %s from host %d, %v after it began to leave", u.ID, s.RequestID, hosts[s.RequestID], s.At.Sub(at))
			}
		}
	}
}

// hostsByRequest returns the number of the host that each request was sent to, by request id.
func (h *history) hostsByRequest() map[string]int {
	out := make(map[string]int, len(h.calls))
	for _, c := range h.calls {
		out[c.id] = c.host
	}
	return out
}

// checkBackoffs reports upstreams that got more requests than allowed from a host that they had asked
// to stay away, unless a fault of the host excuses it.
func (h *history) checkBackoffs(cl *cluster, report func(string, ...any)) {
	hosts := h.hostsByRequest()
	for _, u := range cl.upstreams {
		breaks := u.stage.BackoffViolations(h.connectedSender(cl, hosts))
		if len(breaks) > 0 {
			b := slices.MaxFunc(breaks, func(a, b faker.BackoffViolation) int { return cmp.Compare(a.Received, b.Received) })
			report("upstream %s got %d requests from %s in the %v that it had asked for, want at most 2: %s", u.ID, b.Received, b.Host, b.Wait, strings.Join(b.Requests, " "))
		}
	}
}

// connectedSender returns a function that names the host that sent a request, or returns an empty text
// where a fault of that host may excuse the request.
func (h *history) connectedSender(cl *cluster, hosts map[string]int) func(one *faker.ReceivedRequest) string {
	return func(one *faker.ReceivedRequest) string {
		host, ok := hosts[one.RequestID]
		if !ok || !h.connected(host, one.At.Add(-settleTime), one.At) {
			return ""
		}
		return cl.hosts[host].name
	}
}

// checkLeavingHeader reports requests that callers sent to a host more than leaveTimeout after a response
// had told it that an upstream leaves, and that reached that upstream. Only a restart or a pause of
// the host excuses that, or a restart of the upstream: a leave ends with its incarnation.
func (h *history) checkLeavingHeader(cl *cluster, report func(string, ...any)) {
	calls := make(map[string]*call, len(h.calls))
	for i := range h.calls {
		calls[h.calls[i].id] = &h.calls[i]
	}
	for _, u := range cl.upstreams {
		toldAt := make(map[int]time.Time)
		for _, s := range u.stage.Received() {
			c := calls[s.RequestID]
			if c == nil {
				continue
			}
			at, told := toldAt[c.host]
			told = told && !h.interrupted(c.host, at, s.At) && !u.wasRestarted(at, s.At)
			switch {
			case told && c.sent.After(at.Add(leaveTimeout)):
				report("upstream %s got request %s from host %d, sent %v after a response had told that it leaves", u.ID, c.id, c.host, c.sent.Sub(at))
			case !told && s.ToldLeaving && c.ended.After(s.At) && u.stage.IsDelivered(&s):
				// The host has the response at the latest when the caller has its own.
				toldAt[c.host] = c.ended
			}
		}
	}
}

// wasRestarted reports whether the upstream was started as another incarnation between two times.
func (u *upstream) wasRestarted(from, to time.Time) bool {
	return slices.ContainsFunc(u.restarts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// interrupted reports whether a host was killed, stopped or paused between two times.
func (h *history) interrupted(host int, from, to time.Time) bool {
	for _, i := range h.incidents {
		if i.host == host && (i.fault == "kill" || i.fault == "stop" || i.fault == "pause") && i.from.Before(to) && i.to.After(from) {
			return true
		}
	}
	return false
}

// restoreFault names the fault in which the store is restored from a snapshot.
const restoreFault = "restore"

// writtenAt returns when a write at the given time became durable. A restore of the store that
// starts before the write, or at most leaveTimeout after it, and ends after it, may lose the write,
// which is then repeated when the restore ends.
func (h *history) writtenAt(at time.Time) time.Time {
	for _, i := range h.incidents {
		if i.fault == restoreFault && i.from.Before(at.Add(leaveTimeout)) && at.Before(i.to) {
			at = i.to
		}
	}
	return at
}

// checkLimits reports upstreams that got more requests than the limit that they report allows, from
// hosts that knew the limit and were connected all the while.
func (h *history) checkLimits(cl *cluster, report func(string, ...any)) {
	hosts := h.hostsByRequest()
	for _, u := range cl.upstreams {
		breaks := u.stage.LimitViolations(h.connectedSender(cl, hosts))
		if len(breaks) > 0 {
			b := slices.MaxFunc(breaks, func(a, b faker.LimitViolation) int { return cmp.Compare(a.Received-a.Allowed, b.Received-b.Allowed) })
			report("upstream %s got %d requests in 4 s at a limit of %g per second, want at most %d", u.ID, b.Received, b.PerSecond, b.Allowed)
		}
	}
}

// checkRetries reports services that got more retries, over all hosts, than the retry budget allows. A
// request counts for each service that its route may lead to.
func (h *history) checkRetries(cl *cluster, report func(string, ...any)) {
	var epoch time.Time
	since := func(at time.Time) time.Duration {
		if epoch.IsZero() {
			epoch = at
		}
		return at.Sub(epoch)
	}
	requests, retries := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for i := range h.calls {
		for _, service := range servicesOf(h.calls[i].path) {
			requests[service] = append(requests[service], since(h.calls[i].sent))
		}
	}
	seen := make(map[string]bool)
	for _, u := range cl.upstreams {
		for _, s := range u.stage.Received() {
			// The same request may go to the new service of a moved route; the first of all arrivals is any one.
			if key := u.Service + " " + s.RequestID; s.RequestID != "" && seen[key] {
				retries[u.Service] = append(retries[u.Service], since(s.At))
			} else {
				seen[key] = true
			}
		}
	}
	for service, list := range retries {
		if w := cl.strain.retries.Worst(requests[service], list); float64(w.Retries) > w.Allowed {
			report("service %s got %d retries in %v for %d requests, want at most %.0f", service, w.Retries, cl.strain.retries.Length, w.Requests, w.Allowed)
		}
	}
}

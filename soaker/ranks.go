package soaker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardineward/sardineward/matcher"
)

const (
	// rankedService is a service with few slots whose routes differ in priority.
	rankedService = "pool"
	rankedSlots   = 6
	// surgeCallers is the number of callers of one surge: several times what the slots serve.
	surgeCallers = 48
	// maxRepeats is how often an impatient caller repeats a refused request at once.
	maxRepeats = 5
	// maxInversion is how much larger the served share of a less urgent rank may be.
	maxInversion = 0.05
	// minRankCalls is the number of requests of a rank from which its share is checked.
	minRankCalls = 60
	// workspaceCount is the number of workspaces that share the keys.
	workspaceCount = 4
)

// rankPrefixes are the prefixes of the routes to rankedService, the most urgent one first. Its
// requests run at most once.
var rankPrefixes = []string{"/hint/", "/note/", "/review/"}

// rankOf returns the index in rankPrefixes of the prefix of a path; -1 if it has none of them.
func rankOf(path string) int {
	return slices.IndexFunc(rankPrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// rankedRoutes returns a route for each prefix, with priorities that ascend.
func rankedRoutes(prefixes []string) []matcher.Route {
	out := make([]matcher.Route, len(prefixes))
	for n, prefix := range prefixes {
		out[n] = route(prefix, rankedService, matcher.KindNonIdempotent)
		out[n].Priority = n
	}
	return out
}

// workspaces divides keys among workspaces.
func workspaces(keys []string) []matcher.Workspace {
	out := make([]matcher.Workspace, workspaceCount)
	for n := range out {
		out[n].Name = fmt.Sprintf("mill-%d", n)
	}
	for n, k := range keys {
		w := &out[n%workspaceCount]
		w.Keys = append(w.Keys, k)
	}
	return out
}

// surgeOfRanks makes many callers of all ranks come at once. Every other one repeats a refused
// request at once, the others come back after the Retry-After.
func surgeOfRanks(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	r.recordFault("surge", -1, lasts, true)
	end := time.Now().Add(lasts)
	var wg sync.WaitGroup
	for n := range surgeCallers {
		own := rand.New(rand.NewPCG(rnd.Uint64(), uint64(n)))
		wg.Go(func() { r.callRanks(own, n, end) })
	}
	wg.Wait()
}

// callRanks sends requests of random ranks until end. n is the number of the caller.
func (r *Run) callRanks(rnd *rand.Rand, n int, end time.Time) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for time.Now().Before(end) {
		path, key := rankPrefixes[rnd.IntN(len(rankPrefixes))], keyName(rnd.IntN(keyCount))
		for range maxRepeats {
			c := call{id: fmt.Sprintf("surge-%d-%d-%d", r.Seed, n, rnd.Uint64()), path: path, key: key}
			c.host, c.fallback = r.pickHost(rnd)
			r.send(client, &c)
			r.history.addCall(c)
			if c.status != http.StatusServiceUnavailable {
				break
			}
			if n%2 == 0 {
				time.Sleep(min(c.retryAfter, time.Until(end)))
				break
			}
		}
	}
}

// reverseRanks reverses the priorities of the routes to rankedService, once and for good.
func reverseRanks(r *Run, _ *rand.Rand, _ int, _ time.Duration) {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	if !r.history.reversedAt.IsZero() {
		return
	}
	reversed := slices.Clone(rankPrefixes)
	slices.Reverse(reversed)
	r.history.reversedAt = r.cluster.updateConfiguration(func(c *matcher.Configuration) {
		c.Routes = append(slices.DeleteFunc(slices.Clone(c.Routes), func(r matcher.Route) bool { return rankOf(r.Prefix) >= 0 }), rankedRoutes(reversed)...)
	})
}

// rankAt returns the rank of a call and whether it is certain: while a change of the configuration
// takes effect, a host may use either.
func (h *history) rankAt(c *call, at time.Time) (rank int, certain bool) {
	rank = rankOf(c.path)
	if h.reversedAt.IsZero() || at.Before(h.reversedAt) {
		return rank, true
	}
	return len(rankPrefixes) - 1 - rank, at.After(h.writtenAt(h.reversedAt).Add(settleTime)) && h.connected(c.host, h.reversedAt, at)
}

// checkUrgency reports requests that reached the ranked service without the urgency of their rank.
func (h *history) checkUrgency(cl *cluster, report func(string, ...any)) {
	calls := make(map[string]*call)
	for i := range h.calls {
		if rankOf(h.calls[i].path) >= 0 {
			calls[h.calls[i].id] = &h.calls[i]
		}
	}
	for _, u := range cl.upstreams {
		for _, s := range u.stage.Received() {
			c := calls[s.RequestID]
			if c == nil {
				continue
			}
			rank, certain := h.rankAt(c, s.At)
			// Three ranks are spread over 0 to 9.
			want := strconv.Itoa(rank * 9 / (len(rankPrefixes) - 1))
			if s.Urgency == "" && c.earlier {
				continue // sent by a version that may know no ranks
			}
			if s.Urgency == "" || (certain && s.Urgency != want) {
				report("upstream %s got request %s of rank %d with urgency %q, want %s", u.ID, c.id, rank, s.Urgency, want)
				return
			}
		}
	}
}

// checkRanks reports a rank that was served less often than a less urgent one. Only requests of
// hosts without a fault count.
func (h *history) checkRanks(report func(string, ...any)) {
	sent, served := make([]float64, len(rankPrefixes)), make([]float64, len(rankPrefixes))
	for i := range h.calls {
		c := &h.calls[i]
		if _, gone := h.revokedAt[c.key]; gone || c.fallback || rankOf(c.path) < 0 || !h.undisturbed(c.host, c.sent, c.ended) {
			continue
		}
		if rank, certain := h.rankAt(c, c.sent); certain {
			sent[rank]++
			if c.status == http.StatusOK {
				served[rank]++
			}
		}
	}
	for rank := 1; rank < len(sent); rank++ {
		n, m := sent[rank-1], sent[rank]
		if min(n, m) < minRankCalls {
			continue
		}
		more, less := served[rank-1]/n, served[rank]/m
		// Three standard errors of the difference of two shares.
		slack := 3 * math.Sqrt(0.25/n+0.25/m)
		if less > more+maxInversion+slack {
			report("rank %d was served %.0f of %.0f times, rank %d %.0f of %.0f", rank, served[rank], m, rank-1, served[rank-1], n)
		}
	}
}

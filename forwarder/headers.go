package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/sardineward/sardineward/balancer"
)

// Headers are the names under which callers, hosts and upstreams tell each
// other about a request.
type Headers struct {
	// RequestID names one attempt of a caller; an upstream repeats it.
	RequestID string
	// DeadlineMs is how many milliseconds are left.
	DeadlineMs string
	// Workspace is set by the host, from the key.
	Workspace string
	// Instance is the upstream that a request is meant for.
	Instance string
	// Path lists the upstreams that a request passes and their layers.
	Path string
	// Fault is the address of the upstream that made another one refuse.
	Fault string
	// NotRun is set in answers to requests that did not run.
	NotRun string
	// Stamp is an upstream's signature of its answer.
	Stamp string
	// Load is running, waiting and slots of an upstream.
	Load string
	// Limit is the requests a second that an upstream in need takes from all hosts.
	Limit string
	// Tokens is the prompt's tokens and the most to answer.
	Tokens string
	// Length is the caller's estimate of the answer's tokens.
	Length string
	// Urgency and Version are set by hosts only.
	Urgency, Version string
}

// DefaultHeaders are the project's own names.
var DefaultHeaders = Headers{
	RequestID:  "Attempt-Id",
	DeadlineMs: "Deadline-Ms",
	Workspace:  "X-Workspace",
	Instance:   "Expect-Upstream",
	Path:       "Path",
	Fault:      "Fault-At",
	NotRun:     "Not-Run",
	Stamp:      "Stamp",
	Load:       "Upstream-Load",
	Limit:      "Upstream-Limit",
	Tokens:     "Token-Counts",
	Length:     "Length-Hint",
	Urgency:    "Urgency",
	Version:    "Expect-Version",
}

// hopByHop headers concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outgoing are a caller's headers as an upstream gets them. Those that only
// hosts set are dropped: a caller that sent them could run under another
// workspace's name.
func (h *Headers) outgoing(in http.Header, keyed bool) http.Header {
	out := in.Clone()
	dropHopByHop(out)
	for _, name := range []string{h.Workspace, h.Instance, h.Path, h.Urgency, h.Version, h.NotRun} {
		out.Del(name)
	}
	if keyed {
		out.Del("Authorization")
	}
	return out
}

func dropHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// incoming copies an upstream's headers for the caller.
func (h *Headers) incoming(to, from http.Header) {
	from = from.Clone()
	dropHopByHop(from)
	from.Del(h.Load)
	from.Del(h.NotRun)
	from.Del(h.Fault)
	for name, v := range from {
		to[name] = v
	}
	if _, ok := from["Content-Type"]; !ok {
		// Keeps the library from guessing one.
		to["Content-Type"] = nil
	}
}

// FormatPath renders hops as ADDRESS=FROM-TO, separated by commas.
func FormatPath(hops []balancer.Hop) string {
	parts := make([]string, len(hops))
	for i, h := range hops {
		parts[i] = h.Address + "=" + strconv.Itoa(h.From) + "-" + strconv.Itoa(h.To)
	}
	return strings.Join(parts, ",")
}

// parseLoad reads running, waiting and slots; nil when it isn't there.
func parseLoad(v string) *balancer.Load {
	parts := strings.Split(v, ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, p := range parts {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(p)); err != nil {
			return nil
		}
	}
	return &balancer.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// parseTokens reads the prompt's tokens and the most to answer.
func parseTokens(v string) (prompt, most float64) {
	p, m, _ := strings.Cut(v, ",")
	return parseNumber(p), parseNumber(m)
}

// parseNumber is 0 where there is no number above 0.
func parseNumber(v string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

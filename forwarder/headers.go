package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/sardineward/sardineward/balancer"
)

// Headers holds the names of the headers that callers, hosts and upstreams exchange about a
// request.
type Headers struct {
	// RequestID identifies one attempt of a caller; the upstream returns it unchanged.
	RequestID string
	// DeadlineMs is the time left for the request, in milliseconds.
	DeadlineMs string
	// Workspace is the name of the workspace; the host sets it from the key.
	Workspace string
	// Instance is the ID of the upstream that a request is meant for.
	Instance string
	// Path lists the upstreams that run a request in turn and their layers, see FormatPath.
	Path string
	// Fault is the address of the upstream on the path because of which the first one rejected
	// the request.
	Fault string
	// NotRun is set in a response when the request did not run.
	NotRun string
	// Stamp is an upstream's signature of its response.
	Stamp string
	// Load holds an upstream's running and waiting requests and its slots, separated by commas.
	Load string
	// Limit is how many requests a second an overloaded upstream accepts from all hosts
	// together.
	Limit string
	// Leaving is 1 in each response of an upstream that takes no new work and will stop.
	Leaving string
	// Tokens holds the number of tokens in the prompt and the maximum in the answer, separated
	// by a comma.
	Tokens string
	// Parts lists the parts of the prompt in order as ID:TOKENS, separated by commas. The last one is
	// the request's own, or that of its session.
	Parts string
	// Length is the caller's estimate of the number of tokens in the answer.
	Length string
	// Urgency and Version are set by hosts only; a caller's values are removed.
	Urgency, Version string
}

// DefaultHeaders holds the header names that are used unless others are configured.
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
	Leaving:    "Upstream-Leaving",
	Tokens:     "Token-Counts",
	Parts:      "Prompt-Parts",
	Length:     "Length-Hint",
	Urgency:    "Urgency",
	Version:    "Expect-Version",
}

// hopByHop lists the headers that apply to one connection only and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outgoing returns the headers to forward to an upstream. It removes those that only hosts may
// set: otherwise a caller could run requests in the name of another workspace. keyed is set when
// the configuration requires keys: Authorization then holds one and is removed too.
func (h *Headers) outgoing(in http.Header, keyed bool) http.Header {
	out := in.Clone()
	dropHopByHop(out)
	for _, name := range []string{h.Workspace, h.Instance, h.Path, h.Urgency, h.Version, h.NotRun} {
		out.Del(name)
	}
	dropDelegation(out)
	if keyed {
		out.Del("Authorization")
	}
	return out
}

// dropHopByHop removes the headers that concern one connection only, also those that the
// Connection header names.
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

// incoming copies an upstream's response headers to the caller's, without those that are meant for
// hosts.
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
		// A nil value keeps net/http from detecting a type.
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

// parseLoad parses "RUNNING,WAITING,SLOTS"; it returns nil when v has another form.
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

// parseTokens parses "PROMPT,MAX", the number of tokens in the prompt and the maximum in the
// answer. A missing or invalid number is 0.
func parseTokens(v string) (prompt, maxTokens float64) {
	p, m, _ := strings.Cut(v, ",")
	return parseNumber(p), parseNumber(m)
}

// parseNumber returns the number in v, or 0 when v is not a number or is negative.
func parseNumber(v string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Package matcher finds the route and the workspace of a request in a route table. A route is
// selected by host and longest path prefix, its service by weight, and a workspace by key.
//
// A Configuration is what operators declare. New compiles it into a Table, which is immutable and
// safe for concurrent use. The package does no I/O.
package matcher

import (
	"net"
	"strings"
	"time"
)

//go:generate enumer -type Kind -trimprefix Kind -transform title-lower -output kind_gen.go

// Kind says whether the requests of a route may be repeated. The zero value is KindNonIdempotent.
type Kind int

// The kinds of a route.
const (
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run again.
	KindIdempotent
	// KindStreaming requests are answered by a stream of events with increasing IDs.
	KindStreaming
)

// Split sends a share of a route's requests to a service.
type Split struct {
	Service string `json:"service"`
	// Weight is the share relative to the other splits of the route; at least 0.
	Weight int `json:"weight"`
}

// Route declares how requests to a host below a path prefix are served.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout bounds the whole request; 0 means no limit.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency that callers expect; for a stream, that of the first event.
	TargetLatency time.Duration `json:"target"`
	// MaxGap is the longest time between two events that callers expect; 0 where the route does not
	// stream.
	MaxGap time.Duration `json:"gap"`
	// Priority is the rank in queues; 0 is served first.
	Priority int `json:"priority"`
	// Splits holds at least one entry.
	Splits []Split `json:"splits"`
	// MaxAttempts bounds the upstreams that may run one request; at least 1.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Resumable streams may continue on another upstream after the last event that was sent.
	Resumable bool `json:"resumable"`
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string `json:"name"`
	// MaxConnections bounds the connections that one upstream accepts from all hosts together.
	MaxConnections int `json:"maxConnections"`
	// Engine is nil where each upstream answers on its own, without layers.
	Engine *Engine `json:"engine"`
}

// Engine describes how the upstreams of a service run a model together.
type Engine struct {
	// Layers is the number of layers of the model, and LayerMB the size of one in MB.
	Layers  int     `json:"layers"`
	LayerMB float64 `json:"layerMB"`
	// TokenBytes is the cache memory of one token over all layers, in bytes.
	TokenBytes float64 `json:"tokenBytes"`
	// StepMs is the time of one token step over all layers. Each request in the batch adds
	// PerSequenceMs, and PerContextMs for every 1,000 tokens of its context.
	StepMs        float64 `json:"stepMs"`
	PerSequenceMs float64 `json:"perSequenceMs"`
	PerContextMs  float64 `json:"perContextMs"`
	// ReadPerSecond is the number of prompt tokens processed per second.
	ReadPerSecond float64 `json:"readPerSecond"`
	// ActivationBytes is the size in bytes of the activations of one token, which cross each link
	// of a path.
	ActivationBytes float64 `json:"activationBytes"`
	// PipeMbps is the shared bandwidth between two data centres, LinkMbps the bandwidth of one
	// upstream, both in Mbit/s.
	PipeMbps float64 `json:"pipeMbps"`
	LinkMbps float64 `json:"linkMbps"`
	// LoadTime is the time to load the whole model.
	LoadTime time.Duration `json:"loadTime"`
	// MaxConcurrentLoads is the number of loads that run at a time without slowing each other
	// down.
	MaxConcurrentLoads int `json:"loadsAtOnce"`
	// Slots is the number of requests that one upstream runs as the first of a path.
	Slots int `json:"slots"`
	// Prompt and Answer are the typical numbers of tokens of a prompt and of an answer.
	Prompt float64 `json:"prompt"`
	Answer float64 `json:"answer"`
	// Cards are the kinds of accelerator; empty means that all are alike.
	Cards []Card `json:"cards"`
}

// Card describes one kind of accelerator.
type Card struct {
	Name string `json:"name"`
	// MB is the memory for layers and requests, in MB.
	MB float64 `json:"mb"`
	// StepTimeFactor multiplies the time of a step, ReadTimeFactor the time to process a prompt.
	StepTimeFactor float64 `json:"pace"`
	ReadTimeFactor float64 `json:"readPace"`
}

// Workspace is a set of keys that share a priority.
type Workspace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority replaces the route's where HasPriority is set; 0 is served first.
	Priority    int  `json:"priority"`
	HasPriority bool `json:"hasPriority"`
}

// Limits bounds the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Configuration is the complete declaration of operators, at one version.
type Configuration struct {
	// Version increases with every change.
	Version    int64       `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
}

// Table is a compiled Configuration.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// RequiresKey is set when requests to routes that aren't public need a key.
	RequiresKey bool
	routes      map[string]map[string]*Route
	keys        map[string]*Workspace
	// ranks holds the result of Ranks by service. ranksWorkspaces is set where some workspace has a
	// priority.
	ranks           map[string][]int
	ranksWorkspaces bool
	// competing holds the services that several workspaces may use.
	competing map[string]bool
}

// New compiles a configuration.
func New(cfg *Configuration) *Table {
	t := &Table{
		Version:     cfg.Version,
		Limits:      cfg.Limits,
		Services:    make(map[string]*Service, len(cfg.Services)),
		RequiresKey: len(cfg.Workspaces) > 0,
		routes:      make(map[string]map[string]*Route),
		keys:        make(map[string]*Workspace),
	}
	for i := range cfg.Services {
		t.Services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][r.Prefix] = r
	}
	for i := range cfg.Workspaces {
		for _, k := range cfg.Workspaces[i].Keys {
			t.keys[k] = &cfg.Workspaces[i]
		}
	}
	t.setRanks(cfg)
	t.competing = competingByService(cfg)
	return t
}

// Route returns the route of a host with the longest prefix of path, or nil. path is as the
// caller sent it, without the query.
func (t *Table) Route(host, path string) *Route {
	byPrefix := t.routes[normalizeHost(host)]
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Service selects the service of a request by weight. draw is a random number, uniform in [0, 1).
func (t *Table) Service(r *Route, draw float64) *Service {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return t.Services[s.Service]
		}
	}
	return t.Services[r.Splits[0].Service]
}

func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Package matcher finds the route and the workspace of a request in a route
// table: host and longest path prefix, split by weight, and keys.
//
// A Configuration is what operators declare; New compiles it into a Table that
// is safe for concurrent use and never changes. The package does no I/O.
package matcher

import (
	"net"
	"strings"
	"time"
)

//go:generate enumer -type Kind -trimprefix Kind -transform title-lower -output kind_gen.go

// Kind is what may be repeated of a route's requests.
type Kind int

// The kinds of a route.
const (
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run again.
	KindIdempotent
	// KindStreaming requests are answered by events with rising ids.
	KindStreaming
)

// Split sends a part of a route's requests to a service.
type Split struct {
	Service string `json:"service"`
	// Weight is relative to the other splits of the route; at least 0.
	Weight int `json:"weight"`
}

// Route says where requests of a host below a path prefix go.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout bounds the whole request; 0 means none.
	Timeout time.Duration `json:"timeout"`
	// Target is the latency that callers expect, to the first event of a stream.
	Target time.Duration `json:"target"`
	// Gap is the longest pause between two events that callers expect; 0 where
	// the route does not stream.
	Gap time.Duration `json:"gap"`
	// Priority is the rank; 0 is served first.
	Priority int `json:"priority"`
	// Splits are never empty.
	Splits []Split `json:"splits"`
	// MaxAttempts is how many upstreams may run one request; at least 1.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool `json:"resumable"`
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// Service is a set of upstreams that are alike.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is what one upstream accepts from all hosts together.
	MaxConnections int `json:"maxConnections"`
	// Engine is nil where upstreams answer alone, without layers.
	Engine *Engine `json:"engine"`
}

// Engine says how the upstreams of a service run a model together.
type Engine struct {
	// Layers is how many the model has, LayerMB the size of one in MB.
	Layers  int     `json:"layers"`
	LayerMB float64 `json:"layerMB"`
	// TokenBytes is the cache memory of one token over all layers.
	TokenBytes float64 `json:"tokenBytes"`
	// StepMs is the time of one token step over all layers; PerSequenceMs and
	// PerContextMs (for 1,000 tokens) come on top for each request in the batch.
	StepMs        float64 `json:"stepMs"`
	PerSequenceMs float64 `json:"perSequenceMs"`
	PerContextMs  float64 `json:"perContextMs"`
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64 `json:"readPerSecond"`
	// ActivationBytes of a token cross each link of a path.
	ActivationBytes float64 `json:"activationBytes"`
	// PipeMbps is what all share between two data centres, LinkMbps what one
	// upstream has.
	PipeMbps float64 `json:"pipeMbps"`
	LinkMbps float64 `json:"linkMbps"`
	// LoadTime is how long the whole model takes to load.
	LoadTime time.Duration `json:"loadTime"`
	// LoadsAtOnce is how many loads run without slowing each other down.
	LoadsAtOnce int `json:"loadsAtOnce"`
	// Slots is how many requests one upstream runs as the first of a path.
	Slots int `json:"slots"`
	// Prompt and Answer are the usual numbers of tokens.
	Prompt float64 `json:"prompt"`
	Answer float64 `json:"answer"`
	// Cards are the kinds of accelerator; empty means all are alike.
	Cards []Card `json:"cards"`
}

// Card is one kind of accelerator.
type Card struct {
	Name string `json:"name"`
	// MB is its memory for layers and requests.
	MB float64 `json:"mb"`
	// Pace multiplies the time of steps, ReadPace that of reading prompts.
	Pace     float64 `json:"pace"`
	ReadPace float64 `json:"readPace"`
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority goes before the route's where HasPriority is set; 0 is first.
	Priority    int  `json:"priority"`
	HasPriority bool `json:"hasPriority"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Configuration is everything that operators declare, at one version.
type Configuration struct {
	// Version rises with every change.
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
	// Keyed is set when requests of routes that aren't public need a key.
	Keyed  bool
	routes map[string]map[string]*Route
	keys   map[string]*Workspace
}

// New compiles a configuration.
func New(cfg *Configuration) *Table {
	t := &Table{
		Version:  cfg.Version,
		Limits:   cfg.Limits,
		Services: make(map[string]*Service, len(cfg.Services)),
		Keyed:    len(cfg.Workspaces) > 0,
		routes:   make(map[string]map[string]*Route),
		keys:     make(map[string]*Workspace),
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
	return t
}

// Route returns the route of a host with the longest prefix of path, or nil.
// path is as the caller sent it, without the query.
func (t *Table) Route(host, path string) *Route {
	byPrefix := t.routes[hostOnly(host)]
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

// Service draws the service of a request: draw is uniform in [0, 1).
func (t *Table) Service(r *Route, draw float64) *Service {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Splits {
		at -= float64(s.Weight)
		if at < 0 {
			return t.Services[s.Service]
		}
	}
	return t.Services[r.Splits[0].Service]
}

func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

package faker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sardineward/sardineward/builder"
)

// Environment simulates what entry hosts depend on: platform, list of hosts, engines and plain
// services. Configuration, Listen and the addresses are set before Start, which sets the others.
type Environment struct {
	Configuration *builder.Configuration
	// Listen opens a listener on an address.
	Listen func(address string) (net.Listener, error)
	// PlatformAddress and HostListAddress are the addresses of the platform's services; a service
	// without an address is not served.
	PlatformAddress, HostListAddress string

	Platform *Platform
	HostList *HostList
	Fleet    *Fleet
	// Services maps names to plain services.
	Services map[string]*Service

	killFuncs map[string]func()
}

// Start serves the environment until Close.
func (w *Environment) Start() error {
	w.Platform, w.HostList = new(Platform), new(HostList)
	w.Fleet = NewFleet(w.Configuration)
	w.Services = make(map[string]*Service)
	w.killFuncs = make(map[string]func())
	if err := w.serve("platform", w.PlatformAddress, w.Platform.Handler()); err != nil {
		return err
	}
	if err := w.serve("hostList", w.HostListAddress, w.HostList.Handler()); err != nil {
		return err
	}
	for _, e := range w.Fleet.Engines() {
		if err := w.serve(e.Upstream.Name, e.Upstream.Address, e.Handler()); err != nil {
			return err
		}
	}
	for _, s := range w.Configuration.Services {
		svc := &Service{}
		w.Services[s.Name] = svc
		for _, name := range s.Upstreams {
			if err := w.serve(name, w.address(name), svc.Handler()); err != nil {
				return err
			}
		}
	}
	return nil
}

// address returns the address of an upstream, or empty if there is none.
func (w *Environment) address(upstream string) string {
	for _, u := range w.Configuration.Upstreams {
		if u.Name == upstream {
			return u.Address
		}
	}
	return ""
}

func (w *Environment) serve(name, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	kill, err := Serve(w.Listen, address, h)
	if err != nil {
		return fmt.Errorf("serving %s: %w", name, err)
	}
	w.killFuncs[name] = kill
	return nil
}

// Kill simulates the end of an upstream's process: its connections are closed and new ones are
// refused.
func (w *Environment) Kill(name string) {
	if e := w.Fleet.Engine(name); e != nil {
		e.Kill()
	}
	if kill := w.killFuncs[name]; kill != nil {
		kill()
		delete(w.killFuncs, name)
	}
}

// Restart kills an upstream and starts it with a newer incarnation.
func (w *Environment) Restart(name string) error {
	w.Kill(name)
	if e := w.Fleet.Engine(name); e != nil {
		e.Restart()
		return w.serve(name, e.Upstream.Address, e.Handler())
	}
	for _, s := range w.Configuration.Services {
		for _, u := range s.Upstreams {
			if u == name {
				return w.serve(name, w.address(name), w.Services[s.Name].Handler())
			}
		}
	}
	return fmt.Errorf("no upstream %s", name)
}

// Close kills all engines and closes all servers.
func (w *Environment) Close() {
	w.Fleet.Close()
	for _, kill := range w.killFuncs {
		kill()
	}
	w.killFuncs = nil
}

// Control returns an HTTP API that injects faults:
// POST /v1/NAME/kill, restart, pause, resume or leave, and
// POST /v1/platform with {"out":true,"delayMs":2000}.
// GET /v1/runs/SERVICE returns how often each idempotency key of a service was executed.
func (w *Environment) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/platform", func(rw http.ResponseWriter, r *http.Request) {
		var in struct {
			Out     bool `json:"out"`
			DelayMs int  `json:"delayMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.Platform.SetFaults(Faults{Unavailable: in.Out, Delay: time.Duration(in.DelayMs) * time.Millisecond})
	})
	mux.HandleFunc("GET /v1/runs/{service}", func(rw http.ResponseWriter, r *http.Request) {
		if s := w.Services[r.PathValue("service")]; s != nil {
			json.NewEncoder(rw).Encode(s.AllRuns())
		}
	})
	mux.HandleFunc("POST /v1/{name}/{what}", func(rw http.ResponseWriter, r *http.Request) {
		if err := w.control(r.PathValue("name"), r.PathValue("what")); err != nil {
			http.Error(rw, err.Error(), http.StatusNotFound)
		}
	})
	return mux
}

func (w *Environment) control(name, action string) error {
	switch action {
	case "kill":
		w.Kill(name)
		return nil
	case "restart":
		return w.Restart(name)
	}
	e := w.Fleet.Engine(name)
	if e == nil {
		return fmt.Errorf("no engine %s", name)
	}
	switch action {
	case "pause":
		e.Pause()
	case "resume":
		e.Resume()
	case "leave":
		e.Leave()
	default:
		return fmt.Errorf("can't %s", action)
	}
	return nil
}

package faker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sardineward/sardineward/builder"
)

// World is everything outside the system: platform, list of hosts, engines and
// plain services. The fields are set before Start.
type World struct {
	Configuration *builder.Configuration
	// Listen opens addresses.
	Listen func(address string) (net.Listener, error)
	// Platform and HostList are the addresses of the platform's services.
	PlatformAddress, HostListAddress string

	Platform *Platform
	HostList *HostList
	Fleet    *Fleet
	// Services are the plain services by name.
	Services map[string]*Service

	kills map[string]func()
}

// Start serves everything until Close.
func (w *World) Start() error {
	w.Platform, w.HostList = new(Platform), new(HostList)
	w.Fleet = NewFleet(w.Configuration)
	w.Services = make(map[string]*Service)
	w.kills = make(map[string]func())
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

func (w *World) address(upstream string) string {
	for _, u := range w.Configuration.Upstreams {
		if u.Name == upstream {
			return u.Address
		}
	}
	return ""
}

func (w *World) serve(name, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	kill, err := Serve(w.Listen, address, h)
	if err != nil {
		return fmt.Errorf("serving %s: %w", name, err)
	}
	w.kills[name] = kill
	return nil
}

// Kill ends an upstream's process: its connections break and later ones are
// refused.
func (w *World) Kill(name string) {
	if e := w.Fleet.Engine(name); e != nil {
		e.Kill()
	}
	if kill := w.kills[name]; kill != nil {
		kill()
		delete(w.kills, name)
	}
}

// Restart starts an upstream anew, with a newer incarnation.
func (w *World) Restart(name string) error {
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

// Close ends everything.
func (w *World) Close() {
	w.Fleet.Close()
	for _, kill := range w.kills {
		kill()
	}
	w.kills = nil
}

// Control serves the faults to a person or a script:
// POST /v1/NAME/kill, restart, pause, resume or leave, and
// POST /v1/platform with {"out":true,"delayMs":2000}.
func (w *World) Control() http.Handler {
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
		w.Platform.SetFaults(Faults{Out: in.Out, Delay: time.Duration(in.DelayMs) * time.Millisecond})
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

func (w *World) control(name, what string) error {
	switch what {
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
	switch what {
	case "pause":
		e.Pause()
	case "resume":
		e.Resume()
	case "leave":
		e.Leave()
	default:
		return fmt.Errorf("can't %s", what)
	}
	return nil
}

package main

import (
	"context"
	"fmt"
	"net"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/runner"
	"github.com/sardineward/sardineward/watcher"
)

const (
	devKey      = "dev-key"
	devAdminKey = "dev-admin-key"
)

func addDev(app *kingpin.Application) {
	cmd := app.Command("dev", "Run an entry host with an embedded platform, engines and a plain service on loopback.")
	port := cmd.Flag("port", "First of the 20 consecutive ports that are used.").Default("8080").Int()
	cmd.Action(func(*kingpin.ParseContext) error { return runDev(*port) })
}

func runDev(port int) error {
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", port+n) }
	cfg := devConfiguration(address)
	w := &faker.Environment{
		Configuration:   cfg,
		Listen:          listen,
		PlatformAddress: address(3),
		HostListAddress: address(4),
	}
	if err := w.Start(); err != nil {
		return err
	}
	defer w.Close()
	src, err := builder.Canonical(cfg)
	if err != nil {
		return err
	}
	if _, err := watcher.Submit(context.Background(), w.Platform, src, 0, "dev", "dev"); err != nil {
		return err
	}
	settings := &loader.Settings{
		Host:         "dev",
		DataCentre:   "here",
		Callers:      loader.Endpoint{Listen: address(0)},
		Peer:         loader.Endpoint{Listen: address(1)},
		Admin:        loader.Endpoint{Listen: address(2)},
		AdminKeyHash: builder.HashKey(devAdminKey),
		Platform:     address(3),
		HostList:     address(4),
	}
	if err := settings.FillDefaults(); err != nil {
		return err
	}
	settings.Log.Console = true
	settings.Timing.BalancerMs = 100
	printDev(address)
	return runHost(&runner.Host{Settings: settings, Log: newLogger(settings.Log)})
}

// listen listens on an address of this machine.
func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

func printDev(address func(int) string) {
	fmt.Printf(`callers %s, peers %s, administration %s, platform %s

curl -N -H 'Authorization: Bearer %s' http://%s/v1/completions -d '{"model":"draft","prompt":"Summarise lot 12.","max_tokens":20,"stream":true}'
curl -H 'Authorization: Bearer %s' http://%s/services/desk/bookings -d '{"bookingId":"b-1","lot":12}'
curl -H 'Authorization: Bearer %s' http://%s/services/desk/lots/12
curl http://%s/metrics
sardineward status --admin %s

`, address(0), address(1), address(2), address(3), devKey, address(0), devKey, address(0), devKey, address(0), address(2), address(2))
}

func devConfiguration(address func(int) string) *builder.Configuration {
	at := func(from int) func(int) string { return func(i int) string { return address(from + i) } }
	engine := builder.Upstream{DataCentre: "here", Model: "small", Accelerator: "cpu", ChecksFence: true}
	first, second := engine, engine
	first.LastLayer = 7
	second.FirstLayer, second.LastLayer = 8, 15
	front := builder.Range("front", 2, at(5), first)
	back := builder.Range("back", 2, at(7), second)
	desk := builder.Range("desk", 2, at(9), builder.Upstream{DataCentre: "here"})
	engines := slices.Concat(front, back)
	return &builder.Configuration{
		Models:       []builder.Model{{Name: "small", Version: "1", Layers: 16}},
		Accelerators: []builder.Accelerator{{Name: "cpu", StepMs: 2, LayerMs: 0.1, Batch: 8}},
		Upstreams:    slices.Concat(engines, desk),
		Pipelines:    []builder.Pipeline{{Name: "draft", Model: "small", Upstreams: builder.Names(engines), TokenGapMs: 48}},
		Services: []builder.Service{{Name: "desk", Upstreams: builder.Names(desk), Calls: []builder.Call{
			{Method: "POST", Path: "/bookings", KeyPointer: "/bookingId"},
		}}},
		Workspaces: []builder.Workspace{{
			Name:      "dev",
			KeyHashes: []string{builder.HashKey(devKey)},
			Priority:  5,
			Pipelines: []string{"draft"},
			Services:  []string{"desk"},
		}},
	}
}

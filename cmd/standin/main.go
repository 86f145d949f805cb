// Command standin serves what the system meets outside, on loopback: the
// platform's key-value service, its list of hosts, and every upstream of a
// configuration. It is for trying things out; nothing lasts.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/faker"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform and the upstreams of a configuration.")
	file := app.Flag("configuration", "Configuration whose upstreams are served.").Short('c').Required().String()
	platform := app.Flag("platform", "Address of the key-value service.").Default("127.0.0.1:20000").String()
	hosts := app.Flag("host-list", "Address of the list of hosts.").Default("127.0.0.1:20001").String()
	control := app.Flag("control", "Address where faults are asked for.").Default("127.0.0.1:20002").String()
	lag := app.Flag("lag", "How late engines report load and the list shows changes.").Default("1s").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*file, *platform, *hosts, *control, *lag); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(file, platform, hosts, control string, lag time.Duration) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	cfg, err := builder.Parse(file, src)
	if err != nil {
		return err
	}
	listen := func(address string) (net.Listener, error) {
		return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	}
	w := &faker.Environment{Configuration: cfg, Listen: listen, PlatformAddress: platform, HostListAddress: hosts}
	if err := w.Start(); err != nil {
		return err
	}
	defer w.Close()
	w.Fleet.MaxLoadAge, w.HostList.Delay = lag, lag
	kill, err := faker.Serve(listen, control, w.Control())
	if err != nil {
		return err
	}
	defer kill()
	fmt.Printf("platform %s, list of hosts %s, control %s, %d upstreams\n", platform, hosts, control, len(cfg.Upstreams))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

// Command standin serves the external dependencies of the system on loopback: the platform's
// key-value service, its list of hosts, and every upstream of a configuration. It is for local
// trials; all state is lost when it ends.
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
	app := kingpin.New("standin", "Test doubles of the platform and of the upstreams of a configuration.")
	file := app.Flag("configuration", "Configuration whose upstreams are served.").Short('c').Required().String()
	platform := app.Flag("platform", "Address of the key-value service.").Default("127.0.0.1:20000").String()
	hosts := app.Flag("host-list", "Address of the list of hosts.").Default("127.0.0.1:20001").String()
	control := app.Flag("control", "Address that accepts requests for faults.").Default("127.0.0.1:20002").String()
	lag := app.Flag("lag", "Delay of engines' load reports and of changes in the list of hosts.").Default("1s").Duration()
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

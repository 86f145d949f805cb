package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sys/unix"

	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/launcher"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/platform"
)

const (
	// storeTimeout bounds a call to the platform's store: two hundred times the usual duration.
	storeTimeout = 800 * time.Millisecond
)

func addForward(app *kingpin.Application) {
	cmd := app.Command("forward", "Run an entry host that forwards by the platform's route table until SIGTERM, then stop gracefully.")
	file := cmd.Flag("settings", "Settings of this host, JSON with comments.").Short('c').Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		cfg, err := loader.LoadForward(*file)
		if err != nil {
			return withExitCode(err)
		}
		return runForward(cfg)
	})
}

func runForward(cfg *loader.Forward) error {
	out := &boundedLog{Out: os.Stdout, Level: string(cfg.LogLevel)}
	log := out.Start()
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	store := &platform.Store{Address: cfg.Platform, HTTP: storeClient(), Timeout: storeTimeout, Log: log}
	engineTransport := new(forwarder.EngineTransport)
	h := &launcher.Host{
		Settings:        cfg,
		Store:           store,
		Source:          &platform.Source{Store: store, Self: cfg.Host, Log: log},
		Engines:         &platform.Engines{HTTP: &http.Client{Transport: engineTransport}},
		EngineTransport: engineTransport,
		Headers:         platform.Headers,
		ReadyPath:       platform.ReadyPath,
		Now:             bootTime,
		DroppedLogLines: out.Dropped,
		Version:         version(executable()),
		Log:             log,
	}
	return h.Run(ctx)
}

// storeClient returns the client for calls to the platform's store.
func storeClient() *http.Client {
	t := &http.Transport{
		DialContext:            connector.DetectResets(new(net.Dialer).DialContext),
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: connector.MaxHeaderBytes,
	}
	return &http.Client{Transport: &connector.CheckedTransport{Base: t}}
}

// bootTime returns the time since the machine started. Unlike the monotonic clock of the standard
// library it includes time in suspension, during which leases expire and keys are revoked.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

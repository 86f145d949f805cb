package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/parser"
	"github.com/sardineward/sardineward/runner"
)

func addRun(app *kingpin.Application) {
	cmd := app.Command("run", "Run an entry host until SIGTERM, then stop gracefully; a second signal ends it at once.")
	file := cmd.Flag("settings", "Settings of this host, JSON with comments.").Short('c').Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		cfg, err := loader.Load(*file)
		if err != nil {
			return findings(err)
		}
		return runHost(&runner.Host{Settings: cfg, Log: logger(cfg.Log)})
	})
}

// runHost runs until the first signal, and cuts the graceful stop short at the
// second.
func runHost(h *runner.Host) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	cut := make(chan struct{})
	go func() {
		<-signals
		stop()
		<-signals
		close(cut)
	}()
	err := h.Run(ctx, cut)
	if err != nil && ctx.Err() != nil {
		return &exit{exitCut, err}
	}
	return err
}

func logger(cfg *loader.Log) zerolog.Logger {
	var w io.Writer = os.Stderr
	if cfg.Console {
		w = zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly}
	}
	level, err := zerolog.ParseLevel(string(cfg.Level))
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

func addCheck(app *kingpin.Application) {
	cmd := app.Command("check", "Print everything that is wrong in a configuration or in settings.")
	file := cmd.Arg("file", "Configuration, or settings with --settings.").Required().String()
	settings := cmd.Flag("settings", "The file is settings of a host.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		if *settings {
			_, err := loader.Load(*file)
			return findings(err)
		}
		src, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		cfg, err := builder.Parse(*file, src)
		if err != nil {
			return findings(err)
		}
		fmt.Printf("%d upstreams, %d pipelines, %d services, %d workspaces: nothing wrong\n",
			len(cfg.Upstreams), len(cfg.Pipelines), len(cfg.Services), len(cfg.Workspaces))
		return nil
	})
}

// findings gives wrong files their exit code.
func findings(err error) error {
	var found parser.Findings
	if errors.As(err, &found) {
		return &exit{exitFindings, found}
	}
	return err
}

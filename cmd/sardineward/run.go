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
			return withExitCode(err)
		}
		return runHost(&runner.Host{Settings: cfg, Log: newLogger(cfg.Log)})
	})
}

// runHost runs a host until the first signal, and cuts the graceful stop short at the second.
func runHost(h *runner.Host) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	cutOff := make(chan struct{})
	go func() {
		<-signals
		stop()
		<-signals
		close(cutOff)
	}()
	err := h.Run(ctx, cutOff)
	if err != nil && ctx.Err() != nil {
		return &exitError{exitRequestsCut, err}
	}
	return err
}

func newLogger(cfg *loader.Log) zerolog.Logger {
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
	cmd := app.Command("check", "Print all errors in a configuration or in settings.")
	file := cmd.Arg("file", "Configuration, or settings with --settings.").Required().String()
	settings := cmd.Flag("settings", "The file holds the settings of a host.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		if *settings {
			_, err := loader.Load(*file)
			return withExitCode(err)
		}
		src, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		cfg, err := builder.Parse(*file, src)
		if err != nil {
			return withExitCode(err)
		}
		fmt.Printf("%d upstreams, %d pipelines, %d services, %d workspaces: no errors\n",
			len(cfg.Upstreams), len(cfg.Pipelines), len(cfg.Services), len(cfg.Workspaces))
		return nil
	})
}

// withExitCode adds the exit code of invalid files to findings. Other errors are returned
// unchanged.
func withExitCode(err error) error {
	var found parser.Findings
	if errors.As(err, &found) {
		return &exitError{exitFindings, found}
	}
	return err
}

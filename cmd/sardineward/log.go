package main

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logLines is how many lines wait for a reader of the output.
	logLines = 4096
	// logPoll is the time between two looks for lines to write.
	logPoll = 20 * time.Millisecond
	// logBurst is how many lines below warnings are written in a second: what
	// some hundred refusals a second and their attempts come to.
	logBurst = 1000
)

// boundedLog writes lines without ever waiting for their reader: a request must
// not wait for a log. What is too much is dropped and counted. The fields are set
// before Start.
type boundedLog struct {
	Out io.Writer
	// Level is the lowest that is written; empty and unknown names mean info.
	Level string

	w       diode.Writer
	dropped atomic.Int64
}

// Start returns the logger.
func (l *boundedLog) Start() zerolog.Logger {
	l.w = diode.NewWriter(l.Out, logLines, logPoll, func(missed int) { l.dropped.Add(int64(missed)) })
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil || level == zerolog.NoLevel {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	burst := &zerolog.BurstSampler{Burst: logBurst, Period: time.Second, NextSampler: l}
	sampler := zerolog.LevelSampler{DebugSampler: burst, InfoSampler: burst}
	return zerolog.New(l.w).Level(level).Sample(sampler).With().Timestamp().Logger()
}

// Sample implements zerolog.Sampler for lines beyond the burst.
func (l *boundedLog) Sample(zerolog.Level) bool {
	l.dropped.Add(1)
	return false
}

// Dropped is how many lines were not written.
func (l *boundedLog) Dropped() float64 { return float64(l.dropped.Load()) }

// Close writes what waits, and tells how much was dropped.
func (l *boundedLog) Close() {
	err := l.w.Close()
	if n := l.dropped.Load(); n > 0 || err != nil {
		errs := zerolog.New(os.Stderr)
		errs.Warn().Int64("lines", n).AnErr("close", err).Msg("log: lines dropped")
	}
}

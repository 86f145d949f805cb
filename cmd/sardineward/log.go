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
	// logClose bounds how long Close waits for lines to be written.
	logClose = time.Second
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
	// accepted lines were logged; each is written, or overrun by later ones.
	accepted, written, overrun atomic.Int64
}

// counted counts the lines that pass to a writer, once they have.
type counted struct {
	io.Writer
	n *atomic.Int64
}

func (c counted) Write(line []byte) (int, error) {
	defer c.n.Add(1)
	return c.Writer.Write(line)
}

// Start returns the logger.
func (l *boundedLog) Start() zerolog.Logger {
	l.w = diode.NewWriter(counted{l.Out, &l.written}, logLines, logPoll, func(missed int) {
		l.dropped.Add(int64(missed))
		l.overrun.Add(int64(missed))
	})
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil || level == zerolog.NoLevel {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	burst := &zerolog.BurstSampler{Burst: logBurst, Period: time.Second, NextSampler: l}
	sampler := zerolog.LevelSampler{DebugSampler: burst, InfoSampler: burst}
	return zerolog.New(counted{l.w, &l.accepted}).Level(level).Sample(sampler).With().Timestamp().Logger()
}

// Sample implements zerolog.Sampler for lines beyond the burst.
func (l *boundedLog) Sample(zerolog.Level) bool {
	l.dropped.Add(1)
	return false
}

// Dropped is how many lines were not written.
func (l *boundedLog) Dropped() float64 { return float64(l.dropped.Load()) }

// Close writes what waits, and tells how much was dropped. The writer alone would lose
// lines that come right before it is closed, such as why a host ends.
func (l *boundedLog) Close() {
	for end := time.Now().Add(logClose); l.written.Load()+l.overrun.Load() < l.accepted.Load() && time.Now().Before(end); {
		time.Sleep(logPoll / 4)
	}
	err := l.w.Close()
	if n := l.dropped.Load(); n > 0 || err != nil {
		errs := zerolog.New(os.Stderr)
		errs.Warn().Int64("lines", n).AnErr("close", err).Msg("log: lines dropped")
	}
}

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
	// maxQueuedLines is the number of lines that may wait for the output.
	maxQueuedLines = 4096
	// logPollInterval is the time between two checks for lines to write.
	logPollInterval = 20 * time.Millisecond
	// maxLinesPerSecond bounds the lines below level warn per second. It fits about a hundred
	// refusals a second with their attempts.
	maxLinesPerSecond = 1000
	// logCloseTimeout bounds how long Close waits for lines to be written.
	logCloseTimeout = time.Second
)

// boundedLog is a log that never blocks its callers, since a request must not wait for the reader
// of a log. Excess lines are dropped and counted. The exported fields are set before Start.
type boundedLog struct {
	Out io.Writer
	// Level is the lowest level that is written; empty and unknown names mean info.
	Level string

	w       diode.Writer
	dropped atomic.Int64
	// accepted counts the lines that were logged. Each of them is written, or overrun by later
	// ones.
	accepted, written, overrun atomic.Int64
}

// countingWriter counts the lines written to a writer, after each write.
type countingWriter struct {
	io.Writer
	n *atomic.Int64
}

func (c countingWriter) Write(line []byte) (int, error) {
	defer c.n.Add(1)
	return c.Writer.Write(line)
}

// Start returns the logger.
func (l *boundedLog) Start() zerolog.Logger {
	l.w = diode.NewWriter(countingWriter{l.Out, &l.written}, maxQueuedLines, logPollInterval, func(missed int) {
		l.dropped.Add(int64(missed))
		l.overrun.Add(int64(missed))
	})
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil || level == zerolog.NoLevel {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	burst := &zerolog.BurstSampler{Burst: maxLinesPerSecond, Period: time.Second, NextSampler: l}
	sampler := zerolog.LevelSampler{DebugSampler: burst, InfoSampler: burst}
	return zerolog.New(countingWriter{l.w, &l.accepted}).Level(level).Sample(sampler).With().Timestamp().Logger()
}

// Sample implements zerolog.Sampler. It drops and counts the lines beyond the rate limit.
func (l *boundedLog) Sample(zerolog.Level) bool {
	l.dropped.Add(1)
	return false
}

// Dropped returns the number of lines that were not written.
func (l *boundedLog) Dropped() float64 { return float64(l.dropped.Load()) }

// Close writes the waiting lines and reports how many were dropped. Closing the writer alone
// would lose the last lines, such as the reason why a host ends.
func (l *boundedLog) Close() {
	for end := time.Now().Add(logCloseTimeout); l.written.Load()+l.overrun.Load() < l.accepted.Load() && time.Now().Before(end); {
		time.Sleep(logPollInterval / 4)
	}
	err := l.w.Close()
	if n := l.dropped.Load(); n > 0 || err != nil {
		errs := zerolog.New(os.Stderr)
		errs.Warn().Int64("lines", n).AnErr("close", err).Msg("log: lines dropped")
	}
}

package main

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// stalledWriter is an output that blocks each write until unblock is closed.
type stalledWriter struct{ unblock chan struct{} }

func (s stalledWriter) Write(b []byte) (int, error) {
	<-s.unblock
	return len(b), nil
}

// TestStalledLogReader guards against requests that wait for a log whose reader hangs. Lines that
// can't be kept are counted.
func TestStalledLogReader(t *testing.T) {
	is := is.New(t)
	out := stalledWriter{make(chan struct{})}
	l := &boundedLog{Out: out, Level: "info"}
	log := l.Start()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2 * maxQueuedLines {
				log.Warn().Str("requestId", "r1").Msg("forwarder: refused")
			}
		})
	}
	wg.Wait()
	for range 2 * maxLinesPerSecond {
		log.Info().Msg("forwarder: refused")
	}
	is.True(l.Dropped() >= maxLinesPerSecond)
	close(out.unblock)
	l.Close()
}

func BenchmarkLog(b *testing.B) {
	l := &boundedLog{Out: discard{}, Level: "info"}
	log := l.Start()
	b.ReportAllocs()
	for b.Loop() {
		log.Warn().Str("requestId", "9c41d07be2a35f68").Str("upstream", "i-7f3a91c2").Int("runs", 1).Dur("left", 1).Msg("forwarder: turned away")
	}
	l.Close()
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// TestLogLevelEmpty guards against a host that logs nothing because its level is not set.
func TestLogLevelEmpty(t *testing.T) {
	out := new(bytes.Buffer)
	l := &boundedLog{Out: out}
	log := l.Start()
	log.Debug().Msg("not written")
	log.Info().Msg("written")
	l.Close()
	is := is.New(t)
	is.True(strings.Contains(out.String(), `"message":"written"`))
	is.True(!strings.Contains(out.String(), "not written"))
}

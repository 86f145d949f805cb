package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const hostLog = `  25.0 edge-1 {"level":"info","requestId":"r1","time":"2026-01-01T00:00:02Z","reason":"queueFull","message":"forwarder: refused: no room"}
{"level":"info","requestId":"r1","upstream":"e3","time":"2026-01-01T00:00:01Z","message":"forwarder: turned away with status 503 by e3"}
{"level":"info","requestId":"r10","time":"2026-01-01T00:00:01Z","message":"another"}
not a line about r1 {
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	lines, err := filterLines(strings.NewReader(hostLog), "host-a", "r1")
	is.NoErr(err)
	var out strings.Builder
	printLines(&out, lines)
	is.Equal(out.String(), `2026-01-01T00:00:01Z host-a: forwarder: turned away with status 503 by e3
    {"upstream":"e3"}
2026-01-01T00:00:02Z host-a: forwarder: refused: no room
    {"reason":"queueFull"}
`)
}

package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// logLine is a line of a host's log that belongs to a request.
type logLine struct {
	Time      string `json:"time"`
	RequestID string `json:"requestId"`
	Message   string `json:"message"`
	// File is the log that the line comes from.
	File string `json:"-"`
	// Rest holds the other fields as JSON.
	Rest string `json:"-"`
}

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 1 << 20

func addExplain(app *kingpin.Application) {
	cmd := app.Command("explain", "Print all log lines of a request from the logs of several hosts, in order of time.")
	id := cmd.Arg("id", "Request id.").Required().String()
	files := cmd.Arg("files", "Logs, one per host; - is standard input.").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error {
		var all []logLine
		for _, name := range *files {
			lines, err := readLog(name, *id)
			if err != nil {
				return err
			}
			all = append(all, lines...)
		}
		if len(all) == 0 {
			return fmt.Errorf("no log line has request id %q", *id)
		}
		printLines(os.Stdout, all)
		return nil
	})
}

func readLog(name, id string) ([]logLine, error) {
	if name == "-" {
		return filterLines(os.Stdin, "stdin", id)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("reading log: %w", err)
	}
	defer f.Close()
	return filterLines(f, name, id)
}

// filterLines returns the lines of a request. It skips text before the JSON of a line, such as
// the prefix of a log collector, and lines without JSON.
func filterLines(r io.Reader, file, id string) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLineBytes)
	for sc.Scan() {
		text := sc.Text()
		jsonStart := strings.IndexByte(text, '{')
		if jsonStart < 0 || !strings.Contains(text, id) {
			continue
		}
		l := logLine{File: file}
		rest := make(map[string]any)
		if json.Unmarshal([]byte(text[jsonStart:]), &l) != nil || json.Unmarshal([]byte(text[jsonStart:]), &rest) != nil || l.RequestID != id {
			continue
		}
		for _, name := range []string{"time", "requestId", "message", "level"} {
			delete(rest, name)
		}
		b, err := json.Marshal(rest)
		if err != nil {
			return nil, fmt.Errorf("encoding fields: %w", err)
		}
		l.Rest = string(b)
		out = append(out, l)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("reading %s: %w", file, err)
	}
	return out, nil
}

func printLines(w io.Writer, all []logLine) {
	slices.SortStableFunc(all, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	for _, l := range all {
		_, _ = fmt.Fprintf(w, "%s %s: %s\n    %s\n", l.Time, l.File, l.Message, l.Rest)
	}
}

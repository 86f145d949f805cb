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

// logLine is a line of a host's log about a request.
type logLine struct {
	Time      string `json:"time"`
	RequestID string `json:"requestId"`
	Message   string `json:"message"`
	// File is where it was read.
	File string `json:"-"`
	// Rest are its other fields as they stand.
	Rest string `json:"-"`
}

// longestLine bounds a line of a log, in bytes.
const longestLine = 1 << 20

func addExplain(app *kingpin.Application) {
	cmd := app.Command("explain", "Print the way of a request through logs of hosts, in order of time.")
	id := cmd.Arg("id", "Request id.").Required().String()
	files := cmd.Arg("files", "Logs, one a host; - is standard input.").Required().Strings()
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
			return fmt.Errorf("no line about request %q", *id)
		}
		printLines(os.Stdout, all)
		return nil
	})
}

func readLog(name, id string) ([]logLine, error) {
	if name == "-" {
		return linesOf(os.Stdin, "stdin", id)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("reading log: %w", err)
	}
	defer f.Close()
	return linesOf(f, name, id)
}

// linesOf picks the lines about a request. What stands before the JSON of a line,
// such as the prefix of a log collector, is passed over, and so are lines that
// are no JSON.
func linesOf(r io.Reader, file, id string) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, longestLine)
	for sc.Scan() {
		text := sc.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, id) {
			continue
		}
		l := logLine{File: file}
		rest := make(map[string]any)
		if json.Unmarshal([]byte(text[at:]), &l) != nil || json.Unmarshal([]byte(text[at:]), &rest) != nil || l.RequestID != id {
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

// Command sardineward runs an entry host and drives a set of them.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	exitFailed = 1
	// exitFindings: a file is wrong; every finding was printed.
	exitFindings = 2
	// exitConflict: another submission came first.
	exitConflict = 3
	// exitCut: a stop cut off requests.
	exitCut = 4
)

// exit is an error with an exit code of its own.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }

func main() {
	app := kingpin.New("sardineward", "A router for model pipelines and plain services over mixed accelerators.")
	app.Version(version())
	addRun(app)
	addForward(app)
	addExplain(app)
	addDevForward(app)
	addCheck(app)
	addOperate(app)
	addDev(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(codeOf(err))
	}
}

func codeOf(err error) int {
	var e *exit
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			out += " " + s.Value
		}
	}
	return out + " " + info.GoVersion
}

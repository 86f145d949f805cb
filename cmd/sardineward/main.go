// Command sardineward runs an entry host, and administers a set of them.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes, as listed in docs/OPERATIONS.md.
const (
	exitFailed = 1
	// exitFindings means that a file is invalid; every finding was printed.
	exitFindings = 2
	// exitConflict means that another submission came first.
	exitConflict = 3
	// exitRequestsCut means that a stop cut off requests.
	exitRequestsCut = 4
)

// exitError is an error with its own exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func main() {
	app := kingpin.New("sardineward", "A router for model pipelines and plain services over mixed accelerators.")
	app.Version(version(executable()))
	addRun(app)
	addForward(app)
	addExplain(app)
	addDevForward(app)
	addCheck(app)
	addOperate(app)
	addDev(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

// Command standin plays the cases of the review: stand-ins of the platform's store, of the operator, of runners and of
// clients on loopback, around the project's own program, which it starts as separate processes.
//
//	standin CASE RECORD
//
// It writes to the file RECORD, which is record.txt in the folder of a case, what was sent, answered and run.
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
	// maxRun is the longest time that a case may take.
	maxRun = 112 * time.Second
)

// driver holds what a case has started, and its record.
type driver struct {
	trouble  bool
	dir      string
	platform string
	store    *store
	hosts    []*host
	runners  []*runner
	memoryMB int
	net      string
	began    time.Time

	mu         sync.Mutex
	out        *bufio.Writer
	file       *os.File
	violations []string
	ended      bool
}

var cases = map[string]func(d *driver){
	"crash": playCrash,
	"reuse": playReuse,
	// These are trials, not cases.
	"interim":    playInterim,
	"lasttenant": playLastTenant,
	"halfclose":  playHalfClose,
	"extra":      playExtra,
	"foreign":    playForeign,
	"memory":     playSlowReaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitError)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
	d := &driver{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: newStore(), memoryMB: 544, began: time.Now(),
		net: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)), file: file, out: bufio.NewWriter(file),
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
			d.fail("ended by a signal")
		case <-time.After(maxRun):
			d.fail("the case took too long")
		}
	}()
	d.record("case %s, disruption %v", os.Args[1], d.trouble)
	d.serveStore()
	cases[os.Args[1]](d)
	d.finish()
}

func (d *driver) ip(n int) string { return fmt.Sprintf("%s%d", d.net, n) }

func (d *driver) serveStore() {
	l, err := net.Listen("tcp", d.ip(1)+":0") //nolint:noctx // a stand-in
	d.check(err)
	d.platform = l.Addr().String()
	go func() { _ = (&http.Server{Handler: d.store, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
}

// record writes a line with the time since the start to the record.
func (d *driver) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		_, _ = fmt.Fprintf(d.out, "%8.3f "+format+"\n", append([]any{time.Since(d.began).Seconds()}, args...)...)
	}
}

// broken records that the rule was broken.
func (d *driver) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.record("BROKEN: %s", text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, text)
}

func (d *driver) check(err error) {
	if err != nil {
		d.fail("%v", err)
	}
}

// fail ends the case because it could not run.
func (d *driver) fail(format string, args ...any) {
	d.record("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	d.end(exitError)
}

// finish ends the case with its verdict.
func (d *driver) finish() {
	d.mu.Lock()
	n := len(d.violations)
	d.mu.Unlock()
	if n == 0 {
		d.record("the rule held")
		fmt.Println("the rule held")
		d.end(exitHeld)
	}
	d.record("the rule was broken, %d times", n)
	fmt.Printf("the rule was broken, %d times, the first: %s\n", n, d.violations[0])
	d.end(exitBroken)
}

func (d *driver) end(code int) {
	for _, h := range d.hosts {
		h.stop()
	}
	d.mu.Lock()
	d.ended = true
	_ = d.out.Flush()
	d.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs of the hosts:", d.dir)
	}
	os.Exit(code)
}

// Command soak plays randomized runs of the real program under faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/soaker"
)

// mostBroken is how many broken promises of one seed are printed.
const mostBroken = 6

func main() {
	app := kingpin.New("soak", "Runs the program as separate processes, harms them from outside, and checks what callers and upstreams see.")
	binary := app.Flag("binary", "The program, built by `go build ./cmd/sardineward`.").Required().ExistingFile()
	dir := app.Flag("dir", "Where settings and logs of each seed go.").Default(filepath.Join(os.TempDir(), "soak")).String()
	first := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "How many seeds, counted up.").Default("1").Int()
	jobs := app.Flag("jobs", "How many seeds at a time.").Default("2").Int()
	length := app.Flag("length", "How long faults come.").Default("15s").Duration()
	hosts := app.Flag("hosts", "Processes of the program.").Default("4").Int()
	callers := app.Flag("callers", "Requests at a time.").Default("32").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	red := playAll(*seeds, *jobs, func(n int) bool {
		return ctx.Err() != nil || play(ctx, *binary, *dir, *first+uint64(n), *length, *hosts, *callers)
	})
	if ctx.Err() != nil {
		fmt.Println("ended early")
		red++
	}
	stop()
	fmt.Printf("%d seeds, %d red\n", *seeds, red)
	if red > 0 {
		os.Exit(1)
	}
}

// playAll plays runs, some at a time, and returns how many found something.
func playAll(runs, jobs int, one func(n int) bool) (red int) {
	gate := make(chan struct{}, jobs)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range runs {
		gate <- struct{}{}
		wg.Go(func() {
			defer func() { <-gate }()
			ok := one(n)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				red++
			}
		})
	}
	wg.Wait()
	return red
}

func play(ctx context.Context, binary, dir string, seed uint64, length time.Duration, hosts, callers int) bool {
	dir = filepath.Join(dir, fmt.Sprint(seed))
	if err := os.RemoveAll(dir); err != nil {
		fmt.Println(err)
		return false
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Println(err)
		return false
	}
	log, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		fmt.Println(err)
		return false
	}
	defer log.Close()
	r := &soaker.Run{Seed: seed, Length: length, Hosts: hosts, Callers: callers, Binary: binary, Dir: dir, Log: zerolog.New(log).With().Timestamp().Logger()}
	report, err := r.Execute(ctx)
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d requests, %d answered; in calm times %d, %d; %d faults, %d broken\n",
		seed, report.Calls, report.Answered, report.Undisturbed, report.UndisturbedAnswered, len(report.Faults), len(report.Violations))
	for n, text := range report.Violations {
		if n == mostBroken {
			fmt.Println("  …")
			break
		}
		fmt.Println("  " + text)
	}
	return len(report.Violations) == 0
}

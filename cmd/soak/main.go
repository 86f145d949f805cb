// Command soak runs the real program in randomized runs with fault injection.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/soaker"
)

// maxViolationsPrinted bounds the violations that are printed for one seed.
const maxViolationsPrinted = 6

func main() {
	app := kingpin.New("soak", "Runs the program as separate processes, injects faults from outside, and checks what callers and upstreams observe.")
	binary := app.Flag("binary", "The program, built by `go build ./cmd/sardineward`.").Required().ExistingFile()
	earlier := app.Flag("earlier", "An earlier version of the program, which half of the hosts run; restarts change versions.").ExistingFile()
	dir := app.Flag("dir", "Directory for the settings and logs of each seed.").Default(filepath.Join(os.TempDir(), "soak")).String()
	first := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of consecutive seeds.").Default("1").Int()
	jobs := app.Flag("jobs", "Number of seeds that run at a time.").Default("2").Int()
	length := app.Flag("length", "Duration of fault injection.").Default("15s").Duration()
	hosts := app.Flag("hosts", "Number of processes of the program.").Default("4").Int()
	shares := app.Flag("workspace-shares", "Divide capacity by workspace: the hosts' setting workspaceShares.").Bool()
	callers := app.Flag("callers", "Number of concurrent requests.").Default("32").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	failed := runSeeds(*seeds, *jobs, func(n int) bool {
		return ctx.Err() != nil || playSeed(ctx, &soaker.Run{Seed: *first + uint64(n), Length: *length, Hosts: *hosts, Callers: *callers, WorkspaceShares: *shares, Binary: *binary, Earlier: *earlier}, *dir)
	})
	if ctx.Err() != nil {
		fmt.Println("ended early")
		failed++
	}
	stop()
	fmt.Printf("%d seeds, %d failed\n", *seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeeds runs all seeds, up to jobs of them at a time, and returns how many failed.
func runSeeds(seeds, jobs int, runSeed func(n int) bool) (failed int) {
	slots := make(chan struct{}, jobs)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ok := runSeed(n)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
		})
	}
	wg.Wait()
	return failed
}

// playSeed executes a run, with its files in a folder of dir that is named after the seed.
func playSeed(ctx context.Context, r *soaker.Run, dir string) bool {
	dir = filepath.Join(dir, fmt.Sprint(r.Seed))
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
	r.Dir, r.Log = dir, zerolog.New(log).With().Timestamp().Logger()
	report, err := r.Execute(ctx)
	if err != nil {
		fmt.Printf("seed %d: %v\n", r.Seed, err)
		return false
	}
	fmt.Printf("seed %d: %d requests, %d answered; without faults: %d requests, %d answered; %d faults, %d violations\n",
		r.Seed, report.Calls, report.Answered, report.Undisturbed, report.UndisturbedAnswered, len(report.Faults), len(report.Violations))
	for n, text := range report.Violations {
		if n == maxViolationsPrinted {
			fmt.Println("  …")
			break
		}
		fmt.Println("  " + text)
	}
	return len(report.Violations) == 0
}

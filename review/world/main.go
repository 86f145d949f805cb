package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	detail string
}

// cases are the cases by name.
var cases = map[string]func(w *world) (verdict, error){
	"begun":   playBegun,
	"kill":    playKill,
	"leaving": playLeaving,
	"foreign": playForeign,
	"late":    playLate,
	"part":    playPart,
}

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// errTooLong means that a case took longer.
var errTooLong = fmt.Errorf("the case took longer than %v", longest)

func main() { os.Exit(run()) }

// playInTime plays a case, for longest at most.
func playInTime(w *world, play func(w *world) (verdict, error)) (v verdict, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		v, err = play(w)
	}()
	select {
	case <-done:
		return v, err
	case <-time.After(longest):
		return verdict{}, errTooLong
	}
}

func run() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/sardineward", "the program of the hosts")
	file := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	out, err := os.Create(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "world")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := &world{trouble: trouble, crashes: trouble, binary: *binary, dir: dir, started: time.Now(), out: out, sent: make(map[string]time.Time)}
	v, err := playInTime(w, play)
	for _, h := range w.hosts {
		h.kill()
	}
	if err != nil {
		w.record("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	word, code := "the rule held", exitHeld
	if v.broken {
		word, code = "the rule was broken", exitBroken
	}
	w.record("%s: %s", word, v.detail)
	fmt.Println(word+":", v.detail)
	return code
}

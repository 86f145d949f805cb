package launcher_test

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var measure = flag.Bool("measure", false, "print the table of TestBackoffGoodput")

const (
	// goodputSlots and goodputDelay give each upstream of the goodput runs a capacity of 100
	// requests a second.
	goodputSlots = 6
	goodputDelay = 60 * time.Millisecond
	// goodputBase is the load 1x in requests a second, half the capacity of all upstreams.
	goodputBase      = 150
	goodputUpstreams = 3
	rejectingTime    = 9 * time.Second
	// inTime is the time within which callers want their response.
	inTime = 300 * time.Millisecond
)

// goodput is what callers and upstreams saw of a time in which upstreams rejected requests, and of
// the 4 s after it.
type goodput struct {
	sent, inTime, late, refused int
	// peak is the largest number of arrivals at one upstream within 50 ms after that time.
	peak int
}

// measureGoodput sends times goodputBase requests a second through four hosts. Callers that are
// refused come back once, after Retry-After, and count from their first attempt.
func measureGoodput(t *testing.T, rejecting, times int, seed uint64) (g goodput) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t)
		fl.seed, fl.retryRefused = seed, true
		var ids []string
		for _, dc := range dataCentres {
			for n := range goodputUpstreams - 1 {
				ids = append(ids, "desk-"+dc+strings.Repeat("x", n))
				defer fl.startUpstreamIn(ids[len(ids)-1], dc)()
				s := fl.stages[ids[len(ids)-1]]
				s.Slots, s.ResponseDelay = goodputSlots, goodputDelay
			}
		}
		var ended time.Time
		fl.runUnderLoad(4, "/look/1", float64(times*goodputBase), func() {
			time.Sleep(3 * time.Second)
			fl.setOnReply(func(r *reply) {
				g.sent++
				switch {
				case r.status == http.StatusOK && r.took <= inTime:
					g.inTime++
				case r.status == http.StatusOK:
					g.late++
				default:
					g.refused++
				}
			})
			// One upstream of each data centre comes first, as overload is rarely even.
			slices.SortStableFunc(ids, func(a, b string) int { return len(a) - len(b) })
			fl.rejectFor(rejectingTime, 3*time.Second, ids[:rejecting]...)
			ended = time.Now()
			time.Sleep(4 * time.Second)
		})
		for _, id := range ids[:rejecting] {
			g.peak = max(g.peak, peakArrivals(fl, id, ended))
		}
	})
	return g
}

// peakArrivals returns the largest number of requests that an upstream received within 50 ms, after a
// time.
func peakArrivals(fl *fleet, id string, after time.Time) int {
	var window []time.Time
	most := 0
	for _, one := range fl.stages[id].Received() {
		if one.At.Before(after) {
			continue
		}
		window = append(window, one.At)
		for one.At.Sub(window[0]) > 50*time.Millisecond {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// TestBackoffGoodput guards against upstreams that ask for a backoff drawing the requests that others
// could serve.
func TestBackoffGoodput(t *testing.T) {
	t.Parallel()
	all := 3 * (goodputUpstreams - 1)
	if !*measure {
		g := measureGoodput(t, all/2, 1, 1)
		is.New(t).True(g.inTime > g.sent*95/100) // half of the upstreams have capacity for all
		return
	}
	for _, rejecting := range []int{0, 1, all / 2, all} {
		for _, times := range []int{1, 2, 4} {
			var row []string
			for seed := range uint64(3) {
				g := measureGoodput(t, rejecting, times, seed+1)
				row = append(row, fmt.Sprintf("%d of %d, %d late, %d refused, peak %d", g.inTime, g.sent, g.late, g.refused, g.peak))
			}
			fmt.Println("| " + strconv.Itoa(rejecting) + " | " + strconv.Itoa(times) + "x | " + strings.Join(row, " | ") + " |")
		}
	}
}

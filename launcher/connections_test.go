package launcher_test

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/follower"
)

// connectionsOpened returns how many connections to upstreams a host has opened, by purpose.
func (fl *fleet) connectionsOpened(h follower.Host) map[string]int {
	fl.t.Helper()
	is := is.New(fl.t)
	ip, _, _ := strings.Cut(h.Address, ":")
	resp, err := fl.client.Get("http://" + ip + ":83/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	out := make(map[string]int)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), `sardineward_upstream_connections_opened_total{purpose="`)
		if !ok {
			continue
		}
		purpose, text, _ := strings.Cut(rest, `"} `)
		n, err := strconv.Atoi(text)
		is.NoErr(err)
		out[purpose] = n
	}
	is.NoErr(lines.Err())
	return out
}

// allConnectionsOpened adds up connectionsOpened over all running hosts.
func (fl *fleet) allConnectionsOpened() map[string]int {
	fl.t.Helper()
	out := make(map[string]int)
	for _, h := range fl.hosts {
		if fl.killHost[h.Name] == nil {
			continue
		}
		for purpose, n := range fl.connectionsOpened(h) {
			out[purpose] += n
		}
	}
	return out
}

// TestConnectionPurposes guards against connections to upstreams that no counter accounts for.
func TestConnectionPurposes(t *testing.T) {
	for path, want := range map[string]connector.Purpose{"/look/1": connector.PurposePlain, "/stream/1": connector.PurposeStream} {
		t.Run(path, func(t *testing.T) {
			runFleet(t, 1, path, 20, func(is *is.I, fl *fleet) {
				time.Sleep(2 * time.Second)
				opened := fl.allConnectionsOpened()
				is.Equal(len(opened), len(connector.PurposeValues())) // each purpose has its counter from the start
				for _, p := range connector.PurposeValues() {
					is.Equal(opened[p.String()] > 0, p == want)
				}
				is.Equal(fl.count(http.StatusOK), fl.totalRequests())
			})
		})
	}
}

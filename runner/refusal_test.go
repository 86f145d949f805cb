package runner_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// TestRefusals provokes refusals and checks the reason and notRun flag of each, and that no
// upstream started a request that was refused as not run.
func TestRefusals(t *testing.T) {
	runCluster(t, 40, func(b *cluster) {
		for _, row := range []struct {
			name, reason, path, body string
			header                   map[string]string
		}{
			{"no key", "unauthorised", "/v1/completions", `{}`, map[string]string{"Authorization": ""}},
			{"wrong key", "unauthorised", "/v1/completions", `{}`, map[string]string{"Authorization": "Bearer x"}},
			{"no JSON", "malformed", "/v1/completions", `{`, nil},
			{"no prompt", "malformed", "/v1/completions", `{"model":"draft"}`, nil},
			{"negative tokens", "malformed", "/v1/completions", `{"model":"draft","prompt":"p","max_tokens":-1}`, nil},
			{"deadline no number", "malformed", "/v1/completions", `{"model":"draft","prompt":"p"}`, map[string]string{"Deadline-Ms": "soon"}},
			{"too large", "tooLarge", "/v1/completions", strings.Repeat("x", 1<<20+1), nil},
			{"no such pipeline", "unknown", "/v1/completions", `{"model":"other","prompt":"p"}`, nil},
			{"no such path", "unknown", "/v2/completions", `{}`, nil},
			{"no such service", "unknown", "/services/other/x", ``, nil},
			{"undeclared call", "unknown", "/services/desk/other", ``, nil},
			{"other workspace", "forbidden", "/services/desk/search", `{}`, map[string]string{"Authorization": "Bearer " + otherKey}},
			{"booking without key", "noKey", bookings, `{}`, nil},
		} {
			t.Run(row.name, func(*testing.T) {
				b.assertRefused(b.post(0, row.path, row.body, row.header), row.reason, true)
			})
		}
	})
}

// TestRefusedKeyReused sends a different booking under a key that was used before.
func TestRefusedKeyReused(t *testing.T) {
	runCluster(t, 41, func(b *cluster) {
		is.New(t).Equal(b.post(0, bookings, `{"id":"k","lot":1}`, nil).status, 200)
		b.assertRefused(b.post(1, bookings, `{"id":"k","lot":2}`, nil), "keyReused", true)
		b.assertRanOnce("k")
	})
}

// TestRefusedRateLimit sends a burst through all hosts for a workspace limited to 2 requests a
// second overall. The excess is refused at once with a Retry-After.
func TestRefusedRateLimit(t *testing.T) {
	runCluster(t, 42, func(b *cluster) {
		body := `{"model":"draft","prompt":"p","max_tokens":1}`
		refused := 0
		for n := range 40 {
			r := b.post(n%4, "/v1/completions", body, map[string]string{"Authorization": "Bearer " + otherKey})
			if r.refusal != nil {
				refused++
				b.assertRefused(r, "rateLimit", true)
				is.New(t).True(r.refusal.RetryAfter >= 1)
				is.New(t).Equal(r.elapsed, time.Duration(0))
			}
		}
		is.New(t).True(refused >= 30)
	})
}

// TestRefusedDeadline sends a request while no engine with the first layers is up. It waits, and
// is refused when its deadline can no longer be met.
func TestRefusedDeadline(t *testing.T) {
	runCluster(t, 43, func(b *cluster) {
		for _, e := range b.environment.Fleet.Engines() {
			if e.Upstream.FirstLayer == 0 {
				b.environment.Kill(e.Upstream.Name)
			}
		}
		time.Sleep(3 * time.Second)
		r := b.send(context.Background(), 0, http.MethodPost, "/v1/completions", `{"model":"draft","prompt":"p"}`, map[string]string{"Deadline-Ms": "700"})
		b.assertRefused(r, "deadline", true)
		is.New(t).True(r.elapsed <= 700*time.Millisecond)
	})
}

// TestRefusedQueueFull sends one request more than the queue of a host holds.
func TestRefusedQueueFull(t *testing.T) {
	runCluster(t, 44, func(b *cluster) {
		for _, e := range b.environment.Fleet.Engines() {
			b.environment.Kill(e.Upstream.Name)
		}
		time.Sleep(3 * time.Second)
		most := b.settings(0).Limits.Queued
		replies := make(chan reply, most+1)
		for n := range most + 1 {
			go func() {
				replies <- b.send(context.Background(), 0, http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":"draft","prompt":"p%d"}`, n), map[string]string{"Deadline-Ms": "5000"})
			}()
		}
		first := <-replies
		b.assertRefused(first, "queueFull", true)
		for range most {
			<-replies
		}
	})
}

// TestRefusedNotReady sends a request to a host that has no configuration yet.
func TestRefusedNotReady(t *testing.T) {
	runCluster(t, 45, func(b *cluster) {
		for i := range b.hosts {
			b.kill(i)
		}
		b.environment.Platform.SetFaults(faker.Faults{Unavailable: true})
		e := b.start(0)
		time.Sleep(time.Second)
		is.New(t).True(!e.Ready())
		b.assertRefused(b.post(0, "/v1/completions", `{}`, nil), "notReady", true)
	})
}

// TestRefusedStopping sends a request to a stopping host that still finishes others.
func TestRefusedStopping(t *testing.T) {
	runCluster(t, 46, func(b *cluster) {
		done := make(chan reply)
		go func() { done <- b.generate(context.Background(), 0, "long", 1500) }()
		time.Sleep(time.Second)
		b.hosts[0].stop()
		time.Sleep(4 * time.Second)
		b.assertRefused(b.post(0, "/v1/completions", `{"model":"draft","prompt":"p"}`, nil), "stopping", true)
		b.assertComplete(<-done, "long", 1500)
	})
}

// TestPoison guards against a repeated request that crashes engine after engine: every host refuses
// it after two crashes, three if others were in flight at both. The others are answered.
func TestPoison(t *testing.T) {
	runCluster(t, 47, func(b *cluster) {
		stop := b.generateLoad(2, 30, func(r reply) {
			if !r.complete {
				t.Errorf("request other than the poison was not answered: refusal %+v, error %v", r.refusal, r.err)
			}
		})
		time.Sleep(time.Second)
		for n := range 12 {
			r := b.generate(context.Background(), n%4, "a quote "+faker.Poison, 10)
			is.New(t).Equal(r.refusal.Reason, "quarantined")
			time.Sleep(300 * time.Millisecond)
		}
		stop()
		crashes := 0
		for _, e := range b.environment.Fleet.Engines() {
			crashes += e.Crashes
		}
		t.Logf("%d engines crashed", crashes)
		is.New(t).True(crashes <= 3)
	})
}

// TestRetryBudget guards against retries that multiply the load on a failing service: idempotent
// calls are retried only from the retry budget.
func TestRetryBudget(t *testing.T) {
	runCluster(t, 48, func(b *cluster) {
		b.environment.Services["desk"].DropResponseWhen(func(*http.Request) bool { return true })
		sent := 0
		for n := range 300 {
			r := b.post(n%4, "/services/desk/search", fmt.Sprintf(`{"n":%d}`, n), map[string]string{"Deadline-Ms": "3000"})
			is.New(t).True(r.refusal != nil)
			sent++
			time.Sleep(200 * time.Millisecond)
		}
		reached := b.environment.Services["desk"].TotalRequests()
		t.Logf("%d calls came to the service from %d requests", reached, sent)
		is.New(t).True(reached <= sent+4*20)
	})
}

// TestCallerGone checks that a generation ends on the engines when its caller disconnects.
func TestCallerGone(t *testing.T) {
	runCluster(t, 49, func(b *cluster) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		b.generate(ctx, 0, "gone", 10000)
		time.Sleep(time.Second)
		for _, e := range b.environment.Fleet.Engines() {
			is.New(t).Equal(e.Running(), 0)
		}
	})
}

// TestSlowReader checks that the write deadline ends the stream of a caller that doesn't read,
// and that streams of other callers go on.
func TestSlowReader(t *testing.T) {
	runCluster(t, 50, func(b *cluster) {
		conn, err := b.net.Dialer("caller")(context.Background(), "tcp", "10.0.0.1:80")
		is.New(t).NoErr(err)
		defer conn.Close()
		body := `{"model":"draft","prompt":"slow","max_tokens":10000,"stream":true}`
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		time.Sleep(time.Second)
		b.assertComplete(b.generate(context.Background(), 0, "fast", 50), "fast", 50)
		time.Sleep(15 * time.Second)
		is.New(t).Equal(b.hosts[0].InFlight(), int64(0))
	})
}

// TestSlowBody checks that a caller that sends its body too slowly gets an error and holds no
// resources.
func TestSlowBody(t *testing.T) {
	runCluster(t, 51, func(b *cluster) {
		conn, err := b.net.Dialer("caller")(context.Background(), "tcp", "10.0.0.1:80")
		is.New(t).NoErr(err)
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", key)
		time.Sleep(15 * time.Second)
		answer := make([]byte, 1000)
		n, _ := conn.Read(answer)
		is.New(t).True(strings.HasPrefix(string(answer[:n]), "HTTP/1.1 400"))
		is.New(t).Equal(b.hosts[0].InFlight(), int64(0))
	})
}

package runner_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestEveryHostServes sends a generation, a booking and its repeat through every host.
func TestEveryHostServes(t *testing.T) {
	runCluster(t, 1, func(b *cluster) {
		for i := range b.hosts {
			prompt := fmt.Sprint("quote ", i)
			b.assertComplete(b.generate(context.Background(), i, prompt, 10), prompt, 10)
			id := fmt.Sprintf(`{"id":"b-%d"}`, i)
			first := b.post(i, "/services/desk/bookings", id, nil)
			again := b.post((i+1)%4, "/services/desk/bookings", id, nil)
			is := is.New(t)
			is.Equal(first.status, 200)
			is.Equal(again.body, first.body)
			is.Equal(b.environment.Services["desk"].Runs(fmt.Sprint("b-", i)), 1)
		}
	})
}

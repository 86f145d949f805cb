package faker

import (
	"context"
	"time"

	"github.com/sardineward/sardineward/follower"
)

// Without returns the directory as the named host reads it: without its own entry.
func (d *Directory) Without(host string) follower.Source { return directoryView{d, host} }

type directoryView struct {
	*Directory
	self string
}

// Load implements follower.Source.
func (v directoryView) Load(ctx context.Context, delay follower.LoadDelay) (*follower.Changes, error) {
	return v.without(v.Directory.Load(ctx, delay))
}

// Changes implements follower.Source.
func (v directoryView) Changes(ctx context.Context, after follower.Position, wait time.Duration) (*follower.Changes, error) {
	return v.without(v.Directory.Changes(ctx, after, wait))
}

func (v directoryView) without(ch *follower.Changes, err error) (*follower.Changes, error) {
	if err != nil {
		return nil, err
	}
	out := *ch
	out.Hosts = nil
	for _, h := range ch.Hosts {
		if h.Name != v.self {
			out.Hosts = append(out.Hosts, h)
		}
	}
	return &out, nil
}

package connector

import (
	"context"
	"errors"
	"net"
	"time"
)

//go:generate enumer -type Purpose -trimprefix Purpose -transform title-lower -output purpose_gen.go

// Purpose is what a connection to an upstream is opened for.
type Purpose int

// The purposes of a connection.
const (
	// PurposeStream: a request whose response is a stream.
	PurposeStream Purpose = iota
	// PurposePlain: any other request.
	PurposePlain
	// PurposeSilentProbe: a check of an upstream over which streams get no event.
	PurposeSilentProbe
	// PurposeSlowStartProbe: a check of an upstream of a stream whose first event is late.
	PurposeSlowStartProbe
	// PurposeDeadProbe: a check whether a dead upstream accepts connections again.
	PurposeDeadProbe
	// PurposeNeighbourProbe: a check of an upstream in whose data centre another one was just lost or
	// just returned, or that takes over a stream from a lost one.
	PurposeNeighbourProbe
	// PurposeCrashProbe: a check whether an upstream that gave no answer still accepts connections.
	PurposeCrashProbe
	// PurposeWitnessProbe: a check whether any upstream answers this host.
	PurposeWitnessProbe
	// PurposeControl: an order or a query to an engine.
	PurposeControl
	// PurposePeer: a request that another entry host is to serve.
	PurposePeer
)

// minDialTimeout is how long a dial must have been waited for until its timeout says something about the
// upstream: many times a link's delay.
const minDialTimeout = 35 * time.Millisecond

// Open opens a connection that the pool doesn't manage.
func (p *Pool) Open(ctx context.Context, address string, purpose Purpose) (net.Conn, error) {
	if p.OnDial != nil {
		p.OnDial(purpose)
	}
	dial := p.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	if p.OnDialed == nil || purpose == PurposePeer {
		return dial(ctx, "tcp", address)
	}
	began := p.Now()
	c, err := dial(ctx, "tcp", address)
	gaveUp := err != nil && (errors.Is(ctx.Err(), context.Canceled) || (ctx.Err() != nil && p.Now()-began < minDialTimeout))
	if !gaveUp {
		p.OnDialed(address, purpose, began, err)
	}
	return c, err
}

// Check opens a connection within timeout and closes it.
func (p *Pool) Check(ctx context.Context, address string, purpose Purpose, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.Open(ctx, address, purpose)
	if err != nil {
		return err
	}
	return c.Close()
}

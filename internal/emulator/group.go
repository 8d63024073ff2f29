package emulator

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"marigoldshunt/internal/wait"
)

// Group runs instances of one service in several software versions side by side. They come, leave and
// crash, and List names them. Its methods must not be called concurrently, except those of List.
type Group struct {
	List
	opts    Options
	ip      string
	started int
	serving sync.WaitGroup
}

// NewGroup returns a group without instances. All have the given options but for name, version and
// seed, and listen on free ports of an IP address.
func NewGroup(opts Options, ip string) *Group { return &Group{opts: opts, ip: ip} }

// Start starts an instance of a version.
func (g *Group) Start(version string) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(g.ip, "0"))
	if err != nil {
		return err
	}
	g.started++
	opts := g.opts
	opts.Name, opts.Version, opts.Seed = fmt.Sprintf("%s-%d", g.opts.Name, g.started), version, g.opts.Seed+int64(g.started)
	e := New(opts)
	if err := g.Add(e, ln.Addr().String()); err != nil {
		_ = ln.Close() // nothing was served
		return err
	}
	g.serving.Go(func() {
		if err := e.Serve(ln); err != nil {
			e.log.WithError(err).Warn("Stopped.")
		}
	})
	return nil
}

// leavePollInterval is the interval at which a leaving instance looks whether it has work left.
const leavePollInterval = 10 * time.Millisecond

// Leave announces that an instance stops, waits until it has no request left, and stops it. It stops it
// at once when ctx ends.
func (g *Group) Leave(ctx context.Context, e *Emulator) {
	e.Leave()
	for wait.For(ctx, g.opts.LeaveTime); e.busy() && wait.For(ctx, leavePollInterval); {
	}
	_ = e.Close() // it may have ended already
	g.Remove(e)
}

// Churn changes the group until ctx ends: at each interval a random instance crashes, or it leaves and
// another one of its version starts.
func (g *Group) Churn(ctx context.Context, interval time.Duration, rng *rand.Rand) error {
	for wait.For(ctx, interval) {
		all := g.Emulators()
		if len(all) == 0 {
			continue
		}
		e := all[rng.Intn(len(all))]
		if rng.Intn(2) == 0 {
			e.RefuseConnections(e.opts.CrashDowntime)
			continue
		}
		if err := g.Start(e.opts.Version); err != nil {
			return err
		}
		g.Leave(ctx, e)
	}
	return nil
}

// Close stops all instances.
func (g *Group) Close() {
	for _, e := range g.Emulators() {
		_ = e.Close() // it may have ended already
	}
	g.serving.Wait()
}

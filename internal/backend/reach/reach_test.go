package reach_test

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/reach"
	"github.com/endivespoke/endivespoke/internal/peer/tunnel"
)

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// rig has servers that are reached directly, through peers, both or neither.
type rig struct {
	*reach.Dialer
	mu             sync.Mutex
	direct, detour map[string]error // Nil for a server that is reached.
	hang           bool             // Direct dials that fail hang before.
	changes        []reach.Change
	directs        int
}

func newRig() *rig {
	g := &rig{direct: map[string]error{}, detour: map[string]error{}}
	g.Dialer = reach.New(reach.Options{Direct: g.dialDirect, Through: g.dialThrough, Others: othersOf, Now: time.Now, OnChange: func(change reach.Change) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.changes = append(g.changes, change)
	}})
	return g
}

// othersOf returns two other servers of the test's.
func othersOf(address string) []string {
	others := slices.DeleteFunc([]string{"a", "b", "c", "d", "e"}, func(other string) bool { return other == address })
	return others[:2]
}

// path is a connection that tells how it was opened.
type path struct {
	net.Conn
	isDirect bool
}

func (p *path) Close() error { return nil }

func (g *rig) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	g.mu.Lock()
	g.directs++
	err, hang := g.direct[address], g.hang
	g.mu.Unlock()
	if err == nil {
		return &path{isDirect: true}, nil
	}
	if hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, err
}

// dialThrough returns the errors of package tunnel, whose dial tells nothing of the server once its time is up.
func (g *rig) dialThrough(ctx context.Context, address string) (net.Conn, error) {
	if ctx.Err() != nil {
		return nil, errors.Annotate(tunnel.ErrUnavailable, ctx.Err().Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.detour[address]; err != nil {
		return nil, err
	}
	return &path{}, nil
}

func (g *rig) cut(err error, addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range addresses {
		g.direct[address] = err
	}
}

// dial returns how a connection was opened: "direct", "detour" or an error.
func (g *rig) dial(address string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	c, err := g.Dial(ctx, address)
	switch {
	case err != nil:
		return err.Error()
	case c.(*path).isDirect:
		return "direct"
	default:
		return "detour"
	}
}

func (g *rig) changesSoFar() []reach.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

// loseWays lets no peer offer a way.
func (g *rig) loseWays() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range []string{"a", "b", "c", "d", "e"} {
		g.detour[address] = tunnel.ErrUnavailable
	}
}

func (g *rig) awaitPartitioned(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !g.IsPartitioned(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not found to be partitioned")
		}
	}
}

func TestPartitionIsFoundAndEnds(t *testing.T) {
	for name, hang := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			g.hang = hang
			qt.Assert(t, g.dial("c"), qt.Equals, "direct")
			time.Sleep(500 * time.Millisecond) // The success is no evidence any more.
			g.cut(errRefused, "a", "b", "c", "d")
			qt.Check(t, g.dial("a"), qt.Equals, "detour")
			qt.Check(t, g.dial("b"), qt.Equals, "detour")
			time.Sleep(300 * time.Millisecond)
			qt.Check(t, g.IsPartitioned(), qt.IsFalse, qt.Commentf("two servers are no evidence"))
			qt.Check(t, g.dial("d"), qt.Equals, "detour")
			g.awaitPartitioned(t)
			before := g.directs
			qt.Check(t, g.dial("c"), qt.Equals, "detour")
			qt.Check(t, g.directs, qt.Equals, before, qt.Commentf("no time is lost on direct dials"))
			g.cut(nil, "a", "b", "c", "d")
			qt.Check(t, g.Probe(context.Background(), "a"), qt.IsTrue)
			qt.Check(t, g.dial("c"), qt.Equals, "direct")
			changes := g.changesSoFar()
			qt.Assert(t, changes, qt.HasLen, 2)
			qt.Check(t, changes[0].Partitioned && changes[0].Silent == hang, qt.IsTrue)
			qt.Check(t, changes[1].Partitioned, qt.IsFalse)
		})
	}
}

// TestSilentPartitionIsFoundByProbes guards against a partition that is not found while no request opens a connection.
func TestSilentPartitionIsFoundByProbes(t *testing.T) {
	g := newRig()
	g.hang = true
	g.cut(errRefused, "a", "b", "c", "d", "e")
	for _, address := range []string{"a", "b", "c"} {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		qt.Check(t, g.Probe(ctx, address), qt.IsFalse)
		cancel()
	}
	qt.Check(t, g.IsPartitioned(), qt.IsTrue)
}

// TestServerThatIsDownIsNoPartition guards against detours to servers that have crashed.
func TestServerThatIsDownIsNoPartition(t *testing.T) {
	g := newRig()
	g.cut(errRefused, "a", "b", "c")
	for _, address := range []string{"a", "b", "c"} {
		g.detour[address] = errRefused
		qt.Check(t, g.dial(address), qt.Equals, errRefused.Error())
	}
	qt.Check(t, g.IsPartitioned(), qt.IsFalse)
	qt.Check(t, g.dial("d"), qt.Equals, "direct")
	g.detour["a"] = nil
	qt.Check(t, g.dial("a"), qt.Equals, errRefused.Error(), qt.Commentf("another server was just reached"))
}

// TestPeerThatIsPartitionedTooIsNoEvidence guards against two VMs that pass requests to each other, and
// against servers that are taken as crashed since a partitioned VM can't reach them.
func TestPeerThatIsPartitionedTooIsNoEvidence(t *testing.T) {
	g := newRig()
	ctx := context.Background()
	qt.Assert(t, g.dial("c"), qt.Equals, "direct")
	g.cut(errRefused, "a", "b", "c")
	_, err := g.DialForPeer(ctx, "a")
	qt.Check(t, errors.Is(err, tunnel.ErrUnavailable), qt.IsTrue, qt.Commentf("no server was reached since"))
	qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsFalse)
	g.cut(nil, "c")
	qt.Assert(t, g.dial("c"), qt.Equals, "direct")
	_, err = g.DialForPeer(ctx, "a")
	qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("another server is reached"))
	g.cut(errRefused, "c", "e")
	g.dial("e")
	g.dial("b")
	g.dial("c")
	g.dial("a")
	g.awaitPartitioned(t)
	_, err = g.DialForPeer(ctx, "d")
	qt.Check(t, errors.Is(err, tunnel.ErrUnavailable), qt.IsTrue)
}

// TestSilentServersBesideSoundOnesAreDown guards against servers that stay in use though they are lost, since several
// are and no peer can tell.
func TestSilentServersBesideSoundOnesAreDown(t *testing.T) {
	g := newRig()
	g.hang = true
	g.loseWays()
	g.cut(errRefused, "a", "c", "d")
	failed := sync.WaitGroup{}
	for _, address := range []string{"a", "c", "d"} {
		failed.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := g.Dial(ctx, address)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, reach.ErrDoubtful), qt.IsFalse, qt.Commentf("%s: %v", address, err))
		})
	}
	failed.Wait()
}

// TestFirstRefusalInAPartitionIsNoLoss guards against servers that are announced as lost since a VM that has just
// reached one can't reach them.
func TestFirstRefusalInAPartitionIsNoLoss(t *testing.T) {
	g := newRig()
	qt.Assert(t, g.dial("c"), qt.Equals, "direct")
	g.cut(errRefused, "a", "b", "c", "d", "e")
	qt.Assert(t, g.dial("a"), qt.Equals, "detour")
}

// TestPartitionedVMWithoutAWayTellsNothingOfServers guards against the same while no peer offers a way.
func TestPartitionedVMWithoutAWayTellsNothingOfServers(t *testing.T) {
	for _, isKnown := range []bool{false, true} {
		g := newRig()
		g.cut(errRefused, "a", "b", "c", "d", "e")
		if isKnown {
			g.dial("a")
			g.dial("b")
			g.dial("c")
			g.awaitPartitioned(t)
		}
		g.loseWays()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := g.Dial(ctx, "d")
		cancel()
		qt.Check(t, errors.Is(err, reach.ErrDoubtful), qt.IsTrue, qt.Commentf("known to be partitioned: %t; %v", isKnown, err))
		qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsFalse)
	}
}

// TestPartitionedVMWaitsForAPeer guards against requests that fail while peers restart.
func TestPartitionedVMWaitsForAPeer(t *testing.T) {
	g := newRig()
	g.cut(errRefused, "a", "b", "c", "d", "e")
	g.dial("a")
	g.dial("b")
	g.dial("c")
	g.awaitPartitioned(t)
	g.loseWays()
	time.AfterFunc(100*time.Millisecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		clear(g.detour)
	})
	qt.Assert(t, g.dial("d"), qt.Equals, "detour")
}

// TestDialThatFailsAfterAPauseIsNoEvidence guards against a VM that was paused and takes itself as partitioned: it
// would close the connections whose data it has not read yet.
func TestDialThatFailsAfterAPauseIsNoEvidence(t *testing.T) {
	offset := atomic.Int64{}
	d := reach.New(reach.Options{
		Direct: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			offset.Add(int64(5 * time.Second)) // Until the process goes on.
			return nil, ctx.Err()
		},
		Through:  func(context.Context, string) (net.Conn, error) { return &path{}, nil },
		Others:   othersOf,
		Now:      func() time.Time { return time.Now().Add(time.Duration(offset.Load())) },
		OnChange: func(reach.Change) { t.Error("taken as partitioned") },
	})
	for _, address := range []string{"a", "b", "c", "d"} {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, _ = d.Dial(ctx, address)
		cancel()
	}
	time.Sleep(100 * time.Millisecond)
	qt.Check(t, d.IsPartitioned(), qt.IsFalse)
}

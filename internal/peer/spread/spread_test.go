package spread_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// network connects the VMs of a test. A VM that is cut reaches nobody.
type network struct {
	mu    sync.Mutex
	vms   map[string]*vm // By address.
	cut   map[string]bool
	bytes int
	// refuses has connections to VMs that have not started fail at once.
	refuses bool
}

type vm struct {
	*spread.Spread
	address    string
	mu         sync.Mutex
	versions   []uint64 // Of the configurations, as they came into force.
	decoded    int
	stop       context.CancelFunc
	loadsHeard atomic.Int64
	// lossesHeard counts the notes of losses, and loadsFrom holds who told its work.
	lossesHeard atomic.Int64
	loadsFrom   sync.Map
	copies      sync.Map                            // Keys of the copies that it was told of.
	copied      atomic.Pointer[spread.CopyLocation] // Of the one stream that runs here.
	crashes     *crash.Record
}

// findCopies gives the copies that the VM knows.
func (v *vm) findCopies(keys []string) []spread.CopyLocation {
	found := []spread.CopyLocation{}
	for _, key := range keys {
		if _, known := v.copies.Load(key); known {
			found = append(found, spread.CopyLocation{CopyKey: key, ServerID: v.address})
		}
	}
	return found
}

func (v *vm) toldBy(other *vm) bool {
	_, found := v.loadsFrom.Load(other.Snapshot().Self.ID)
	return found
}

func (n *network) call(from string) func(context.Context, string, string, []byte) ([]byte, error) {
	return func(ctx context.Context, _, address string, body []byte) ([]byte, error) {
		n.mu.Lock()
		to := n.vms[address]
		reached := to != nil && !n.cut[from] && !n.cut[address]
		n.bytes += len(body)
		n.mu.Unlock()
		if to == nil && n.refuses {
			return nil, errors.New("connection refused")
		}
		if !reached {
			<-ctx.Done()
			return nil, errors.Trace(ctx.Err())
		}
		answer := to.OnMessage(body)
		n.mu.Lock()
		n.bytes += len(answer)
		n.mu.Unlock()
		return answer, nil
	}
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

type configuration struct{ Version uint64 }

func raw(version uint64) []byte {
	body, err := json.Marshal(configuration{Version: version})
	if err != nil {
		panic(err)
	}
	return body
}

func (n *network) start(t *testing.T, name string, seeds ...string) *vm {
	v := &vm{address: name + ":1"}
	call := n.call(v.address)
	v.crashes = crash.New(crash.Options{Now: time.Now, Announce: func(note crash.Report) { v.AnnounceCrash(note) }})
	v.Spread = spread.New(spread.Options{
		Self:   spread.Member{ID: name, PeerAddress: v.address, FailureDomain: name[:1], Version: 1},
		Seeds:  seeds,
		Now:    time.Now,
		Logger: hclog.NewNullLogger(),
		Call:   call,
		Post: func(peer, address string, body []byte) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				_, _ = call(ctx, peer, address, body) // Posts may be lost.
			}()
		},
		Disconnect: func(string) {},
		DecodeConfiguration: func(raw []byte) (*routing.Configuration, error) {
			read := configuration{}
			if err := json.Unmarshal(raw, &read); err != nil {
				return nil, err
			}
			v.mu.Lock()
			defer v.mu.Unlock()
			v.decoded++
			return routing.New(routing.Content{Version: read.Version}), nil
		},
		OnConfiguration: func(c *routing.Configuration) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.versions = append(v.versions, c.Version)
		},
		OnServers: func([]pool.Server) {},
		Loads:     func() []pool.Load { return nil },
		OnLoads:   func(peer string, _ []pool.Load) { v.loadsHeard.Add(1); v.loadsFrom.Store(peer, true) },
		Copies: func() []spread.CopyLocation {
			if note := v.copied.Load(); note != nil {
				return []spread.CopyLocation{*note}
			}
			return nil
		},
		OnCopies: func(notes []spread.CopyLocation) {
			for _, note := range notes {
				v.copies.Store(note.CopyKey, true)
			}
		},
		OnCrashes:      v.crashes.Merge,
		CrashesHash:    v.crashes.Digest,
		Crashes:        v.crashes.Recurring,
		OnLosses:       func([]spread.LossReport) { v.lossesHeard.Add(1) },
		ServiceUsage:   func() []spread.ServiceUsage { return nil },
		Departures:     func() []pool.Departure { return nil },
		OnDepartures:   func([]pool.Departure) {},
		FindCopies:     v.findCopies,
		OnServiceUsage: func(string, []spread.ServiceUsage) {},
	})
	n.mu.Lock()
	n.vms[v.address] = v
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	t.Cleanup(cancel)
	go func() { _ = v.Serve(ctx) }()
	return v
}

func newNetwork() *network {
	return &network{vms: map[string]*vm{}, cut: map[string]bool{}}
}

// fleet starts VMs that know the first three, and waits until all know all.
func fleet(t *testing.T, n *network, count int) []*vm {
	vms := []*vm{}
	for i := range count {
		vms = append(vms, n.start(t, fmt.Sprintf("%c%d", 'a'+i%3, i), "a0:1", "b1:1", "c2:1"))
	}
	within(t, 5*time.Second, "all know all", func() bool {
		for _, v := range vms {
			if len(v.Snapshot().Live) != count {
				return false
			}
		}
		return true
	})
	return vms
}

func within(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

func inForce(vms []*vm, version uint64) func() bool {
	return func() bool {
		for _, v := range vms {
			c := v.Snapshot().Configuration
			if c == nil || c.Version != version {
				return false
			}
		}
		return true
	}
}

// TestEasedWorkIsToldTogether plays streams that read their prompts and end, one
// each 5 ms: peers get few messages of it, and of added work at once.
func TestEasedWorkIsToldTogether(t *testing.T) {
	vms := fleet(t, newNetwork(), 2)
	for range 60 {
		vms[0].AnnounceLoadsLater()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, vms[1].loadsHeard.Load() <= 4, qt.IsTrue, qt.Commentf("%d messages", vms[1].loadsHeard.Load()))
	qt.Assert(t, vms[1].loadsHeard.Load() > 0, qt.IsTrue)
	before := vms[1].loadsHeard.Load()
	vms[0].AnnounceLoads()
	within(t, 100*time.Millisecond, "added work is told", func() bool { return vms[1].loadsHeard.Load() > before })
}

// TestWorkThatDoesNotChangeIsToldAgain: peers forget it after three seconds, and a
// message may be lost.
func TestWorkThatDoesNotChangeIsToldAgain(t *testing.T) {
	vms := fleet(t, newNetwork(), 2)
	before := vms[1].loadsHeard.Load()
	time.Sleep(3 * time.Second)
	heard := vms[1].loadsHeard.Load() - before
	qt.Assert(t, heard >= 2, qt.IsTrue, qt.Commentf("%d messages", heard))
}

// TestWorkIsToldAgainOnlyIfNoNewsWasTold: peers forget what they were not told again. A
// VM that tells news often repeats nothing beside.
func TestWorkIsToldAgainOnlyIfNoNewsWasTold(t *testing.T) {
	vms := fleet(t, newNetwork(), 3)
	time.Sleep(pool.LoadReportInterval) // What was told of the start has passed.
	before := vms[1].loadsHeard.Load()
	const repeats = 4
	calls := int64(0)
	for end := time.Now().Add(repeats * pool.LoadReportInterval); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		vms[0].AnnounceLoads()
		calls++
	}
	heard := vms[1].loadsHeard.Load() - before
	// Each call of vms[0] once, and what the idle vms[2] repeats.
	qt.Check(t, heard <= calls+repeats+2, qt.IsTrue, qt.Commentf("%d messages after %d calls", heard, calls))
	qt.Check(t, heard >= repeats, qt.IsTrue, qt.Commentf("%d messages after %d calls", heard, calls))
}

// TestWorkIsToldWithinTheCellAndLossesByWatchers: with 64 VMs there are two cells.
func TestWorkIsToldWithinTheCellAndLossesByWatchers(t *testing.T) {
	vms := fleet(t, newNetwork(), 64)
	qt.Assert(t, vms[0].Snapshot().Cells, qt.Equals, 2)
	mates := 0
	for _, v := range vms[1:] {
		if v.Snapshot().Cell == vms[0].Snapshot().Cell {
			mates++
		}
	}
	qt.Assert(t, mates >= 29 && mates <= 33, qt.IsTrue, qt.Commentf("%d VMs share the cell", mates))
	told := func() (count int) {
		for _, v := range vms[1:] {
			if v.toldBy(vms[0]) {
				count++
			}
		}
		return count
	}
	for _, v := range vms {
		v.loadsFrom.Clear() // While the fleet grew it was split otherwise.
	}
	vms[0].AnnounceLoads()
	within(t, time.Second, "the cell knows", func() bool { return told() == mates })
	watchers := map[string]bool{}
	var watcher, other *vm
	for _, m := range vms[0].Watchers("s/a") {
		watchers[m.ID] = true
	}
	qt.Assert(t, watchers, qt.HasLen, 3)
	for _, v := range vms {
		if id := v.Snapshot().Self.ID; watchers[id] {
			watcher = v
		} else {
			other = v
		}
		qt.Assert(t, v.Watches("s/a"), qt.Equals, watchers[v.Snapshot().Self.ID])
	}
	heard := func() (count int) {
		for _, v := range vms {
			if v.lossesHeard.Load() > 0 {
				count++
			}
		}
		return count
	}
	other.AnnounceLoss("s/a", spread.LossReport{ServerID: "s1"})
	within(t, time.Second, "the watchers know of the loss", func() bool { return heard() == len(watchers) })
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, heard(), qt.Equals, len(watchers))
	watcher.AnnounceLoss("s/a", spread.LossReport{ServerID: "s1"})
	within(t, time.Second, "all know of the loss", func() bool { return heard() >= len(vms)-1 })
	qt.Assert(t, told(), qt.Equals, mates)
}

// TestVMsThatComeIntoTheCellAreToldOfCopies: of 64 VMs in two cells half are lost, and the
// others are one cell. Those that were in the other one may have to answer for copies now.
func TestVMsThatComeIntoTheCellAreToldOfCopies(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 64)
	runs := vms[0]
	runs.copied.Store(&spread.CopyLocation{CopyKey: "k", ServerID: "s"})
	runs.AnnounceCopy(*runs.copied.Load())
	for _, v := range vms[32:] {
		n.setCut(v.address, true)
	}
	within(t, 8*time.Second, "the others are one cell", func() bool {
		return !slices.ContainsFunc(vms[:32], func(v *vm) bool { return len(v.Snapshot().Live) != 32 })
	})
	within(t, time.Second, "all of them know of the copy", func() bool {
		return !slices.ContainsFunc(vms[1:32], func(v *vm) bool { return len(v.findCopies([]string{"k"})) == 0 })
	})
}

// configBound is within what the platform's smallest bound of 2 s leaves after a
// reader has seen a version.
const configBound = 1500 * time.Millisecond

func TestVersionReachesAllWithinTheBound(t *testing.T) {
	for _, count := range []int{2, 9, 64} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			vms := fleet(t, newNetwork(), count)
			vms[0].ApplyConfiguration(context.Background(), raw(7), time.Now())
			within(t, configBound, "version 7 everywhere", inForce(vms, 7))
			for _, v := range vms {
				v.mu.Lock()
				qt.Check(t, v.decoded, qt.Equals, 1, qt.Commentf("each VM gets a content once"))
				v.mu.Unlock()
			}
		})
	}
}

func TestVersionsOnlyGrow(t *testing.T) {
	vms := fleet(t, newNetwork(), 9)
	for i, version := range []uint64{3, 5, 4, 9, 8, 12} {
		vms[i].ApplyConfiguration(context.Background(), raw(version), time.Now())
	}
	within(t, configBound, "version 12 everywhere", inForce(vms, 12))
	for _, v := range vms {
		v.mu.Lock()
		for i := 1; i < len(v.versions); i++ {
			qt.Check(t, v.versions[i] > v.versions[i-1], qt.IsTrue, qt.Commentf("%v", v.versions))
		}
		v.mu.Unlock()
	}
}

func TestLostVMIsLeftOutAndComesBack(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 6)
	n.setCut("c5:1", true)
	within(t, 3*time.Second, "the others leave it out", func() bool {
		for _, v := range vms[:5] {
			if len(v.Snapshot().Live) != 5 {
				return false
			}
		}
		return true
	})
	vms[0].ApplyConfiguration(context.Background(), raw(7), time.Now())
	n.setCut("c5:1", false)
	within(t, 3*time.Second, "all know all again", func() bool {
		for _, v := range vms {
			if len(v.Snapshot().Live) != 6 {
				return false
			}
		}
		return true
	})
	within(t, configBound, "version 7 everywhere", inForce(vms, 7))
}

// TestVMsThatStartTogetherAreOneFleetSoon: each asks one of the seeds, drawn here by hand, and
// the first seed has asked the second before that was there. Each seed has a fleet around it
// then, and would ask the other again after 5 s only.
func TestVMsThatStartTogetherAreOneFleetSoon(t *testing.T) {
	n := newNetwork()
	n.refuses = true
	vms := []*vm{n.start(t, "a0", "a0:1", "b1:1")}
	vms = append(vms, n.start(t, "a2", "a0:1"))
	within(t, time.Second, "the first seed has a fleet", func() bool { return len(vms[0].Snapshot().Live) == 2 })
	vms = append(vms, n.start(t, "b1", "b1:1"), n.start(t, "b3", "b1:1"))
	within(t, 1500*time.Millisecond, "all know all", func() bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool { return len(v.Snapshot().Live) != len(vms) })
	})
}

func TestNewProcessAtAnAddressSupersedesTheOld(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 3)
	vms[2].stop()
	again := n.start(t, "c2-again", "a0:1")
	n.mu.Lock()
	n.vms["c2:1"] = again
	n.mu.Unlock()
	again.SetSelf(context.Background(), func(self *spread.Member) { self.PeerAddress = "c2:1" })
	within(t, 3*time.Second, "the old process is gone", func() bool {
		live := vms[0].Snapshot().Live
		return len(live) == 3 && slices.ContainsFunc(live, func(m spread.Member) bool { return m.ID == "c2-again" })
	})
}

func TestLeavingServerIsKnownEverywhere(t *testing.T) {
	vms := fleet(t, newNetwork(), 9)
	server := pool.Server{ID: "s1", Address: "10.0.0.1:1", Service: "s"}
	ctx := context.Background()
	rows := []spread.ServerRow{{Server: server, Changed: 4}}
	vms[0].ApplyServers(ctx, spread.StoreRows{Version: 4, Full: true, Rows: rows}, time.Now())
	server.Leaving = true
	rows = []spread.ServerRow{{Server: server, Changed: 6}}
	vms[1].ApplyServers(ctx, spread.StoreRows{Version: 6, Rows: rows}, time.Now())
	vms[0].ApplyServers(ctx, spread.StoreRows{Version: 6, Rows: rows}, time.Now())
	within(t, configBound, "it leaves", func() bool {
		for _, v := range vms {
			listed := v.Snapshot().Servers
			if len(listed) != 1 || !listed[0].Leaving {
				return false
			}
		}
		return true
	})
}

// TestBytesPerVM bounds the traffic of calm VMs: 14 KB/s each is the users' bound
// for control at 430 VMs.
func TestBytesPerVM(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 64)
	vms[0].ApplyConfiguration(context.Background(), raw(7), time.Now())
	within(t, configBound, "version 7 everywhere", inForce(vms, 7))
	time.Sleep(500 * time.Millisecond)
	n.mu.Lock()
	before := n.bytes
	n.mu.Unlock()
	const span = 2 * time.Second
	time.Sleep(span)
	n.mu.Lock()
	perVM := float64(n.bytes-before) / float64(len(vms)) / span.Seconds()
	n.mu.Unlock()
	t.Logf("%.0f bytes/s a VM", perVM)
	qt.Assert(t, perVM < 14_000, qt.IsTrue)
}

// TestDecodingAnyBytes: a message of a peer that can't be read changes nothing.
func TestDecodingAnyBytes(t *testing.T) {
	v := newNetwork().start(t, "a0")
	v.ApplyConfiguration(context.Background(), raw(7), time.Now())
	rapid.Check(t, func(t *rapid.T) {
		v.OnMessage(rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
		if c := v.Snapshot().Configuration; c == nil || c.Version != 7 {
			t.Fatal("the configuration changed")
		}
	})
}

// TestCopyIsFoundFromAnotherCell: places of copies are told in the cell, and a VM of another
// one asks the keepers.
func TestCopyIsFoundFromAnotherCell(t *testing.T) {
	vms := fleet(t, newNetwork(), 64)
	var far *vm
	mates := []*vm{}
	for _, v := range vms[1:] {
		if v.Snapshot().Cell == vms[0].Snapshot().Cell {
			mates = append(mates, v)
		} else {
			far = v
		}
	}
	vms[0].AnnounceCopy(spread.CopyLocation{CopyKey: "k", ServerID: "s"})
	within(t, time.Second, "the cell knows", func() bool {
		for _, v := range mates {
			if _, known := v.copies.Load("k"); !known {
				return false
			}
		}
		return true
	})
	_, known := far.copies.Load("k")
	qt.Assert(t, known, qt.IsFalse)
	note, found := far.LocateCopy(context.Background(), "k")
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, note.CopyKey, qt.Equals, "k")
	_, found = far.LocateCopy(context.Background(), "another")
	qt.Assert(t, found, qt.IsFalse)
}

// controlBytes is what a VM may send for control in a second, by the users' plan.
const controlBytes = 14_000

// TestStartOfManyVMsSendsFewBytes: all of 100 VMs start together, and hear of the others in
// many messages. With a whole list in each answer to a VM that knows others, they sent
// 18 KB/s each here, and megabytes on slow VMs.
func TestStartOfManyVMsSendsFewBytes(t *testing.T) {
	n := newNetwork()
	began := time.Now()
	fleet(t, n, 100)
	time.Sleep(time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := float64(n.bytes) / 100 / time.Since(began).Seconds()
	qt.Assert(t, sent < controlBytes, qt.IsTrue, qt.Commentf("%.0f bytes a second and VM", sent))
}

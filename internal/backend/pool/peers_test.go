package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// peersRig is a pool that knows many servers.
func peersRig(servers int) (p *pool.Pool, now *time.Time) {
	at := time.Unix(0, 0)
	p = pool.New(pool.Options{Now: func() time.Time { return at }, Draw: func() float64 { return 0 }})
	listed := []pool.Server{}
	for i := range servers {
		listed = append(listed, pool.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), Service: "s", FailureDomain: fmt.Sprint(i % 5), Slots: 16})
	}
	p.Update(listed)
	p.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 55_000, SupportsCopies: true}})
	return p, &at
}

// loadOn is what a place on the one server shows of its load.
func loadOn(t *testing.T, p *pool.Pool) placement.Candidate {
	t.Helper()
	lease, _, err := p.AcquireForStream(pool.Criteria{Service: "s"})
	qt.Assert(t, err, qt.IsNil)
	defer lease.Release()
	return lease.Load
}

// TestNewestWordOfAPeerCounts: what a peer tells replaces what it told before, and is
// forgotten when it tells nothing more.
func TestNewestWordOfAPeerCounts(t *testing.T) {
	p, now := peersRig(1)
	p.MergePeerLoads("a", []pool.Load{{ServerID: "s0", PendingTokens: 500, MemoryTokens: 600}})
	p.MergePeerLoads("b", []pool.Load{{ServerID: "s0", Running: 2, MemoryTokens: 70}, {ServerID: "gone", Running: 1}})
	got := loadOn(t, p)
	qt.Assert(t, []int{got.PendingTokens, got.Running, got.MemoryTokens}, qt.DeepEquals, []int{500, 2, 670})
	*now = now.Add(4 * time.Second)
	p.MergePeerLoads("a", []pool.Load{{ServerID: "s0", Running: 1, MemoryTokens: 650}})
	got = loadOn(t, p)
	qt.Assert(t, []int{got.PendingTokens, got.Running, got.MemoryTokens}, qt.DeepEquals, []int{0, 3, 720})
	*now = now.Add(4 * time.Second) // b was silent for 8 s.
	got = loadOn(t, p)
	qt.Assert(t, []int{got.PendingTokens, got.Running, got.MemoryTokens}, qt.DeepEquals, []int{0, 1, 650})
	p.MergePeerLoads("b", []pool.Load{{ServerID: "s0", Running: 5}})
	p.ForgetPeers([]string{"b"}) // It went down.
	got = loadOn(t, p)
	qt.Assert(t, []int{got.PendingTokens, got.Running, got.MemoryTokens}, qt.DeepEquals, []int{0, 1, 650})
	p.MergePeerLoads("a", nil)
	got = loadOn(t, p)
	qt.Assert(t, []int{got.PendingTokens, got.Running, got.MemoryTokens}, qt.DeepEquals, []int{0, 0, 0})
}

// BenchmarkStream places streams among the servers of a large fleet, with its VMs' work.
func BenchmarkStream(b *testing.B) {
	for _, size := range []struct{ vms, servers int }{{9, 24}, {91, 144}, {430, 680}} {
		b.Run(fmt.Sprintf("%d VMs", size.vms), func(b *testing.B) {
			p, _ := peersRig(size.servers)
			for i := range size.vms {
				loads := []pool.Load{}
				for j := range 6 {
					loads = append(loads, pool.Load{ServerID: fmt.Sprint("s", (i*7+j)%size.servers), Running: 1, MemoryTokens: 6000})
				}
				p.MergePeerLoads(fmt.Sprint("vm", i), loads)
			}
			for b.Loop() {
				lease, _, err := p.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 5000, OutputTokens: 800}})
				if err != nil {
					b.Fatal(err)
				}
				lease.Release()
			}
		})
	}
}

// TestStreamsStayInTheCellWhileItHasRoom: VMs of other cells don't hear of this VM's work.
func TestStreamsStayInTheCellWhileItHasRoom(t *testing.T) {
	p, _ := peersRig(40)
	p.SetCell(1, 4)
	used := map[string]int{}
	for range 30 { // 10 servers with room for nine such streams or copies each.
		lease, backup, err := p.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 4500, OutputTokens: 800}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, backup, qt.IsNotNil)
		used[lease.Server.ID]++
		used[backup.ID]++
	}
	qt.Assert(t, len(used) <= 10, qt.IsTrue, qt.Commentf("%d servers were used", len(used)))
	for range 30 {
		lease, _, err := p.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 4500, OutputTokens: 800}})
		qt.Assert(t, err, qt.IsNil)
		used[lease.Server.ID]++
	}
	qt.Assert(t, len(used) > 10, qt.IsTrue, qt.Commentf("streams wait in a full cell while others have room"))
}

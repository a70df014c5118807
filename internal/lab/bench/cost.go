package bench

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/load"
)

// totalUsage sums the resource usage of all VMs.
func totalUsage(system *demo.System) (sum demo.Usage) {
	for index := range system.VMs {
		usage := system.VMUsage(index)
		sum.CPU += usage.CPU
		sum.ResidentBytes += usage.ResidentBytes
	}
	return sum
}

// settleTime is the wait after the start of a system, until its VMs have
// discovered each other.
const settleTime = 4 * time.Second

func measureTokens(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"open generations", "tokens", "tokens a second", "VMs' processor time a token", "tokens a second and core, owner and copy", "peer bytes a token", "gap between tokens p99 (engine's own gap 20 ms)"}}
	for _, requests := range []int{1, 60, 240, 480} {
		system, err := b.system(ctx, demo.Options{VMs: 2, VMCores: 1, Engines: 16, TokenGap: 20 * time.Millisecond, Adjust: withoutLimits})
		if err != nil {
			return nil, errors.Trace(err)
		}
		options := standardLoad(system, requests, 7)
		options.Interval = time.Millisecond
		options.PromptWords = 50
		options.MinTokens = 250
		time.Sleep(settleTime)
		before := totalUsage(system)
		start := time.Now()
		report := load.Run(ctx, options)
		elapsed := time.Since(start)
		cpu := totalUsage(system).CPU - before.CPU
		sent := 0.0
		for index := range system.VMs {
			sent += system.PeerBytesSent(index)
		}
		system.Stop()
		perToken := cpu.Seconds() / float64(report.Tokens)
		rows = append(rows, []string{
			fmt.Sprint(requests),
			fmt.Sprint(report.Tokens),
			fmt.Sprintf("%.0f", float64(report.Tokens)/elapsed.Seconds()),
			fmt.Sprintf("%.1f us", perToken*1e6),
			fmt.Sprintf("%.0f", 1/perToken),
			fmt.Sprintf("%.0f", sent/float64(report.Tokens)),
			millis(load.Quantile(report.TokenGaps, 0.99)),
		})
	}
	direct, err := b.measureDirect(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(rows, direct), nil
}

// measureDirect reads one stream directly from an engine on an idle machine, as
// the reference without the system.
func (b *bench) measureDirect(ctx context.Context) ([]string, error) {
	system, err := b.system(ctx, demo.Options{VMs: 1, Engines: 1, TokenGap: 20 * time.Millisecond})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	body := `{"model":"drafting-3","prompt":"direct","max_tokens":300,"stream":true}`
	response, err := http.Post("http://"+system.Engines[0].Server.Address+"/v1/completions", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	gaps := []time.Duration{}
	last := time.Time{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), "data: {") {
			continue
		}
		now := time.Now()
		if !last.IsZero() {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	return []string{"1, straight from the engine", "300", "-", "-", "-", "-", millis(load.Quantile(gaps, 0.99))}, nil
}

func measureOpen(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"open generations in all", "VMs' resident memory in all", "for each open generation beyond the first row"}}
	base := 0.0
	for _, requests := range []int{0, 400, 1600} {
		system, err := b.system(ctx, demo.Options{VMs: 4, Engines: 20, TokenGap: 250 * time.Millisecond, Adjust: withoutLimits})
		if err != nil {
			return nil, errors.Trace(err)
		}
		loadCtx, cancel := context.WithCancel(ctx)
		options := standardLoad(system, requests, 8)
		options.Accounts = system.Accounts(10)
		options.Interval = 2 * time.Millisecond
		options.MinTokens, options.MaxTokens = 2000, 2000
		done := make(chan struct{})
		go func() {
			defer close(done)
			load.Run(loadCtx, options)
		}()
		time.Sleep(time.Duration(requests)*options.Interval + 8*time.Second)
		resident := float64(totalUsage(system).ResidentBytes)
		cancel()
		<-done
		system.Stop()
		perGeneration := "-"
		if requests == 0 {
			base = resident
		} else {
			perGeneration = fmt.Sprintf("%.1f KB", (resident-base)/float64(requests)/1000)
		}
		rows = append(rows, []string{fmt.Sprint(requests), fmt.Sprintf("%.1f MB", resident/1e6), perGeneration})
	}
	return rows, nil
}

// controlPeriod is the length of the measurement of idle VMs.
const controlPeriod = 15 * time.Second

func measureControl(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"VMs", "engines", "processor time of a VM", "sent to peers by a VM", "resident memory of a VM", "head reads a second in all"}}
	sizes := []struct{ vms, engines int }{{4, 1}, {16, 1}, {64, 1}, {128, 1}, {4, 20}, {4, 60}}
	for _, size := range sizes {
		row, err := b.measureIdle(ctx, size.vms, size.engines)
		if err != nil {
			return nil, errors.Trace(err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measureIdle measures an idle system of one size.
func (b *bench) measureIdle(ctx context.Context, vms, engines int) ([]string, error) {
	system, err := b.system(ctx, demo.Options{VMs: vms, VMCores: 1, Engines: engines, Adjust: func(set *object.Set) { duplicateEngines(set, engines) }})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	time.Sleep(settleTime + 2*time.Second)
	before, sentBefore, readsBefore := totalUsage(system), system.PeerBytesSent(0), system.HeadReads()
	time.Sleep(controlPeriod)
	after, sent, reads := totalUsage(system), system.PeerBytesSent(0), system.HeadReads()
	seconds := controlPeriod.Seconds()
	return []string{
		fmt.Sprint(vms),
		fmt.Sprint(engines),
		fmt.Sprintf("%.2f %% of a core", 100*(after.CPU-before.CPU).Seconds()/seconds/float64(vms)),
		fmt.Sprintf("%.1f KB/s", (sent-sentBefore)/seconds/1000),
		fmt.Sprintf("%.1f MB", float64(after.ResidentBytes)/float64(vms)/1e6),
		fmt.Sprintf("%.1f", float64(reads-readsBefore)/seconds),
	}, nil
}

// duplicateEngines adds copies of the set's last engine until there are count
// engines.
func duplicateEngines(set *object.Set, count int) {
	var engine object.BackendServer
	existing := 0
	for _, server := range set.BackendServers {
		if len(server.Versions) > 0 {
			engine = server
			existing++
		}
	}
	for ; existing < count; existing++ {
		engine.Name = fmt.Sprint("engine-", existing)
		set.BackendServers = append(set.BackendServers, engine)
	}
}

func measurePublish(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"VMs", "publishes", "in force everywhere p50", "longest"}}
	const publishes = 10
	for _, count := range []int{4, 16, 64} {
		system, err := b.system(ctx, demo.Options{VMs: count, VMCores: 1, Engines: 1})
		if err != nil {
			return nil, errors.Trace(err)
		}
		times := []time.Duration{}
		for base := uint64(1); base <= publishes; base++ {
			system.Set.ClientAccounts[0].Weight++
			start := time.Now()
			if err := system.Publish(base); err != nil {
				system.Stop()
				return nil, errors.Trace(err)
			}
			waitForRevision(system, base+1)
			times = append(times, time.Since(start))
		}
		system.Stop()
		rows = append(rows, []string{fmt.Sprint(count), fmt.Sprint(publishes), millis(load.Quantile(times, 0.5)), millis(load.Quantile(times, 1))})
	}
	return rows, nil
}

// measureConfiguration measures the size and the processing time of a
// configuration at several sizes. It starts no processes.
func measureConfiguration(_ context.Context, _ *bench) ([][]string, error) {
	rows := [][]string{{"client accounts", "backend servers", "JSON", "as peers send it (gzip)", "parse, check and hash"}}
	for _, size := range []int{1, 10, 50, 100} {
		set := largeSet(27*size/10, 15*size)
		body := object.Encode(set)
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		if _, err := writer.Write(body); err != nil {
			return nil, errors.Trace(err)
		}
		if err := writer.Close(); err != nil {
			return nil, errors.Trace(err)
		}
		const iterations = 5
		start := time.Now()
		for range iterations {
			parsed, err := object.Parse(body)
			if err != nil {
				return nil, errors.Trace(err)
			}
			if faults := object.Check(parsed); len(faults) > 0 {
				return nil, errors.Errorf("%v", faults[0])
			}
			object.Hash(parsed)
		}
		rows = append(rows, []string{
			fmt.Sprint(len(set.ClientAccounts)),
			fmt.Sprint(len(set.BackendServers)),
			fmt.Sprintf("%.1f KB", float64(len(body))/1000),
			fmt.Sprintf("%.1f KB", float64(compressed.Len())/1000),
			millis(time.Since(start) / iterations),
		})
	}
	return rows, nil
}

// largeSet returns a valid configuration with the given numbers of client accounts
// and engines.
func largeSet(accounts, servers int) (set object.Set) {
	set.Models = []object.Model{{Name: "m", Version: "m-1"}}
	set.Versions = []object.Version{{Name: "m-1", Model: "m", EngineModel: "m-1"}}
	set.Priorities = []object.Priority{{Name: "p", Rank: 1}}
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		set.ClientAccounts = append(set.ClientAccounts, object.ClientAccount{
			Name:               name,
			TokenHashes:        []string{object.HashToken(name), object.HashToken(name + "-next")},
			Priorities:         []string{"p"},
			Models:             []string{"m"},
			Weight:             1 + i%7,
			RequestsPerSecond:  100,
			ConcurrentRequests: 200,
		})
	}
	for i := range servers {
		set.BackendServers = append(set.BackendServers, object.BackendServer{
			Name:          fmt.Sprint("engine-", i),
			Address:       fmt.Sprintf("10.%d.%d.%d:9000", i/65536, i/256%256, i%256),
			FailureDomain: fmt.Sprint("domain-", i%16),
			Versions:      []string{"m-1"},
			MaxConcurrent: 128,
		})
	}
	return set
}

// waitForRevision waits until the revision, or a later one, is in force on every
// VM.
func waitForRevision(system *demo.System, revision uint64) {
	var waiting sync.WaitGroup
	for _, vm := range system.VMs {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for system.Revision(vm) < revision {
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	waiting.Wait()
}

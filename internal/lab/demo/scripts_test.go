package demo_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/load"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
)

// bin is the directory of both programs, built with the race detector.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "endivespoke-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-race", "-o", dir, "./cmd/...")
	build.Dir = "../../.."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}

const (
	scriptTimeout = 3 * time.Minute
	// faultDelay is the time from the start of a load until most of its generations
	// are about half done.
	faultDelay = 1200 * time.Millisecond
)

// startSystem starts a small system with forwarders that can block and silence
// connections.
func startSystem(t *testing.T, options demo.Options) *demo.System {
	options.Bin = bin
	options.LogDir = t.TempDir()
	options.Forward = true
	options.Services = 2
	if options.Example == "" {
		options.Example = "../../../examples/villarreal.json"
	}
	if options.TokenGap == 0 {
		options.TokenGap = 15 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	t.Cleanup(cancel)
	system, err := demo.Start(ctx, options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		system.Stop()
		checkLogs(t, options.LogDir)
	})
	return system
}

// checkLogs fails the test if a process logged a data race or a panic, and prints
// the VMs' logs if the test has failed.
func checkLogs(t *testing.T, dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		body, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		text := string(body)
		if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
			t.Errorf("%s:\n%.6000s", filepath.Base(file), text)
		} else if t.Failed() && strings.HasPrefix(filepath.Base(file), "vm-") {
			t.Logf("%s:\n%.8000s", filepath.Base(file), text)
		}
	}
}

// runLoad sends generations, injects faults after faultDelay and checks that every
// answer is complete and equal to the failure-free one.
func runLoad(t *testing.T, system *demo.System, requests int, seed uint64, injectFaults func()) load.Report {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	faultsInjected := make(chan struct{})
	go func() {
		defer close(faultsInjected)
		time.Sleep(faultDelay)
		injectFaults()
	}()
	report := load.Run(ctx, load.Options{
		Accounts:    system.Accounts(4),
		Model:       system.Set.Models[0].Name,
		EngineModel: system.Set.Versions[0].EngineModel,
		Requests:    requests,
		Interval:    25 * time.Millisecond,
		PromptWords: 100,
		MinTokens:   40,
		MaxTokens:   200,
		Seed:        seed,
		KeyPrefix:   fmt.Sprint("script-", seed),
	})
	<-faultsInjected
	qt.Assert(t, report.AllCorrect(), qt.IsTrue, qt.Commentf("%+v", report.Errors))
	return report
}

// script is a scenario of faults: prepare runs before the load starts and
// injectFaults while it runs.
type script struct {
	name         string
	seed         uint64
	options      demo.Options
	prepare      func(t *testing.T, s *demo.System)
	injectFaults func(t *testing.T, s *demo.System)
}

func standard() demo.Options {
	return demo.Options{VMs: 4, Engines: 4}
}

func checkNoError(t *testing.T, err error) {
	t.Helper()
	qt.Check(t, err, qt.IsNil)
}

func noFaults(*testing.T, *demo.System) {}

func scripts() []script {
	return []script{
		{name: "engine dies before the first token", seed: 1, options: standard(), injectFaults: noFaults, prepare: func(t *testing.T, s *demo.System) {
			checkNoError(t, s.SetEngineFaults(0, enginefake.Faults{CrashAtToken: 1}))
		}},
		{name: "engine dies in the middle", seed: 2, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			s.KillEngine(1)
		}},
		{name: "engine dies after the last token before the end mark", seed: 3, options: standard(), injectFaults: noFaults, prepare: func(t *testing.T, s *demo.System) {
			checkNoError(t, s.SetEngineFaults(2, enginefake.Faults{CrashBeforeEnd: true}))
		}},
		{name: "engines die again during the resume", seed: 4, options: standard(), prepare: noFaults, injectFaults: func(t *testing.T, s *demo.System) {
			checkNoError(t, s.SetEngineFaults(1, enginefake.Faults{CrashAtToken: 30}))
			s.KillEngine(0)
			time.Sleep(150 * time.Millisecond)
			s.KillEngine(2)
		}},
		{name: "engine pauses and comes back with late tokens", seed: 5, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			s.PauseEngine(0)
			time.Sleep(1500 * time.Millisecond)
			s.ResumeEngine(0)
		}},
		{name: "engine restarts with nothing in memory", seed: 6, options: standard(), prepare: noFaults, injectFaults: func(t *testing.T, s *demo.System) {
			s.KillEngine(3)
			checkNoError(t, s.RestartEngine(context.Background(), 3))
		}},
		{name: "VM is killed", seed: 7, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			s.KillVM(1)
		}},
		{name: "VM pauses and goes on after another took over", seed: 8, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			s.PauseVM(0)
			time.Sleep(3 * time.Second)
			s.ResumeVM(0)
		}},
		{name: "owner and copy are killed together", seed: 9, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			s.KillVM(0)
			s.KillVM(1)
		}},
		{name: "VM and engine are killed together", seed: 10, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			s.KillVM(2)
			s.KillEngine(1)
		}},
		{name: "connections to engines go silent", seed: 11, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			for _, engine := range s.Engines {
				engine.Forwarder.Blackhole()
			}
		}},
		{name: "connections of callers go silent", seed: 12, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			for _, vm := range s.VMs {
				vm.CallerForwarder.Blackhole()
			}
		}},
		{name: "connections between VMs go silent", seed: 13, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			for _, vm := range s.VMs {
				vm.PeerForwarder.Blackhole()
			}
		}},
		{name: "connections go silent one way", seed: 14, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			for _, engine := range s.Engines {
				engine.Forwarder.BlackholeOneWay()
			}
			for _, vm := range s.VMs {
				vm.PeerForwarder.BlackholeOneWay()
				vm.CallerForwarder.BlackholeOneWay()
			}
		}},
		{name: "failure domains are cut from each other", seed: 15, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			partitionDomain(s, s.VMs[0].FailureDomain)
			time.Sleep(2500 * time.Millisecond)
			healPartitions(s)
		}},
		{name: "platform is down", seed: 16, options: standard(), injectFaults: noFaults, prepare: func(t *testing.T, s *demo.System) {
			checkNoError(t, s.SetPlatformFaults(platformfake.Faults{DownUntil: time.Now().Add(time.Minute)}))
		}},
		{name: "a VM and then its successors are killed", seed: 17, options: standard(), prepare: noFaults, injectFaults: func(_ *testing.T, s *demo.System) {
			s.KillVM(0)
			time.Sleep(700 * time.Millisecond)
			s.KillVM(1)
			time.Sleep(700 * time.Millisecond)
			s.KillVM(2)
		}},
	}
}

// partitionDomain blocks the peer connections between the VMs of a failure domain
// and those of all others.
func partitionDomain(s *demo.System, domain string) {
	for _, vm := range s.VMs {
		inside := vm.FailureDomain == domain
		vm.PeerForwarder.Block(func(first []byte) bool {
			for _, other := range s.VMs {
				if (other.FailureDomain == domain) != inside && strings.Contains(string(first), "Peer "+other.ID+":") {
					return true
				}
			}
			return false
		})
	}
}

func healPartitions(s *demo.System) {
	for _, vm := range s.VMs {
		vm.PeerForwarder.Block(nil)
	}
}

// TestScripts runs a load through each fault scenario. No answer may be lost, no
// request restarted, and no token missing, duplicated or unexpected.
func TestScripts(t *testing.T) {
	for _, test := range scripts() {
		t.Run(strings.ReplaceAll(test.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			system := startSystem(t, test.options)
			test.prepare(t, system)
			report := runLoad(t, system, 40, test.seed, func() { test.injectFaults(t, system) })
			qt.Assert(t, report.Restarts, qt.Equals, 0)
		})
	}
}

// TestCrashingRequestIsBlockedAndOthersComplete sends content that crashes every
// engine on which it runs, five times under new keys, among harmless requests. The
// content must be blocked and the harmless requests must complete.
func TestCrashingRequestIsBlockedAndOthersComplete(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 8})
	for index := range system.Engines {
		checkNoError(t, system.SetEngineFaults(index, enginefake.Faults{CrashOnWord: "poison", CrashAfter: 3}))
	}
	outcomes := make(chan []string, 1)
	runLoad(t, system, 40, 21, func() { outcomes <- sendCrashingRequests(system) })
	exited := 0
	for index := range system.Engines {
		if system.EngineExited(index) {
			exited++
		}
	}
	answers := <-outcomes
	for _, answer := range answers {
		qt.Check(t, answer, qt.Equals, "crashesServers failed")
	}
	// Four crashes are enough evidence to block the content. A request that is sent
	// after that must not crash another engine.
	qt.Assert(t, exited <= 4, qt.IsTrue, qt.Commentf("%d engines lost", exited))
}

// sendCrashingRequests sends the same crashing content five times, each with a new
// key, and returns the final answers.
func sendCrashingRequests(system *demo.System) []string {
	account := system.Accounts(1)[0]
	answers := []string{}
	for i := range 5 {
		request := client.Request{Key: fmt.Sprint("culprit-", i), Model: system.Set.Models[0].Name, Prompt: "wall poison wall", MaxTokens: 50}
		_, err := account.Client.Generate(context.Background(), request, nil)
		var refusal *client.ProblemError
		if !errors.As(err, &refusal) {
			answers = append(answers, fmt.Sprint(err))
			continue
		}
		answers = append(answers, fmt.Sprint(refusal.Document.Code, " ", refusal.Document.Outcome))
		time.Sleep(4 * gossip.HeartbeatInterval) // Until gossip has reached every VM.
	}
	return answers
}

// TestEveryVMIsReplacedUnderLoad replaces all VMs one after another, with graceful
// stops, while long generations run. Callers keep their old locate answers. No
// request may be interrupted, so no caller may reconnect.
func TestEveryVMIsReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	options := demo.Options{VMs: 3, Engines: 4, TokenGap: 30 * time.Millisecond, VMFlags: []string{"--leave-wait", "11s"}}
	options.IdleTimeout = time.Minute // So that pauses on a busy machine cause no reconnects.
	system := startSystem(t, options)
	accounts := system.Accounts(4) // Before the goroutine below adds VMs.
	replaced := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	go func() {
		defer close(replaced)
		time.Sleep(faultDelay)
		for index := range 3 {
			vm, err := system.StartVM(ctx, fmt.Sprint("vm-new-", index), system.VMs[index].FailureDomain)
			checkNoError(t, err)
			checkNoError(t, system.PublishVMList())
			checkNoError(t, system.WaitReady(ctx, vm))
			system.StopVM(index)
			checkNoError(t, system.PublishVMList())
		}
	}()
	report := load.Run(ctx, load.Options{
		Accounts:    accounts,
		Model:       system.Set.Models[0].Name,
		EngineModel: system.Set.Versions[0].EngineModel,
		Requests:    120,
		Interval:    300 * time.Millisecond,
		PromptWords: 50,
		MinTokens:   50,
		MaxTokens:   250,
		Seed:        22,
		KeyPrefix:   "replace",
	})
	<-replaced
	qt.Assert(t, report.AllCorrect(), qt.IsTrue, qt.Commentf("%+v", report.Errors))
	qt.Assert(t, report.Reconnects, qt.Equals, 0)
}

// TestPartitionedVMStopsAcceptingRequests partitions one VM from the platform and
// its peers. The VM must refuse new requests once its configuration may be
// outdated. After the partition, it must accept requests again, with the revision
// that was published meanwhile.
func TestPartitionedVMStopsAcceptingRequests(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 1})
	ctx := context.Background()
	partitioned := system.VMs[3]
	partitionVM(system, partitioned)
	eventually(t, "it refuses new requests", func() bool { return !system.AcceptsRequests(partitioned) })
	system.Set.ClientAccounts[0].Weight++
	checkNoError(t, system.Publish(1))
	for _, vm := range system.VMs[:3] {
		eventually(t, "the others have the new revision", func() bool { return system.Revision(vm) == 2 })
		qt.Check(t, system.AcceptsRequests(vm), qt.IsTrue)
	}
	qt.Check(t, system.AcceptsRequests(partitioned), qt.IsFalse)
	qt.Check(t, system.Revision(partitioned), qt.Equals, uint64(1))
	healPartitions(system)
	system.PlatformForwarder(partitioned).Block(nil)
	checkNoError(t, system.WaitReady(ctx, partitioned))
	eventually(t, "it has the new revision", func() bool { return system.Revision(partitioned) == 2 })
}

// partitionVM blocks the connections of one VM to the platform and its peer
// connections with every other VM.
func partitionVM(s *demo.System, partitioned *demo.VM) {
	s.PlatformForwarder(partitioned).Block(func([]byte) bool { return true })
	for _, vm := range s.VMs {
		inside := vm == partitioned
		vm.PeerForwarder.Block(func(first []byte) bool {
			fromPartitioned := strings.Contains(string(first), "Peer "+partitioned.ID+":")
			return inside != fromPartitioned
		})
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// TestPausedVMResumesWithTheNewRevision pauses a VM while a revision is published
// that revokes a token. When the VM resumes, after revision.FreshLimit, it
// must not accept the token, and must get the new revision.
func TestPausedVMResumesWithTheNewRevision(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 1})
	system.PauseVM(2)
	system.Set.ClientAccounts[0].TokenHashes = []string{object.HashToken("rotated")}
	checkNoError(t, system.Publish(1))
	time.Sleep(revision.FreshnessLimit + time.Second)
	system.ResumeVM(2)
	staleClient := client.New(client.Options{Entries: []string{"http://" + system.VMs[2].CallerAddress}, Token: "alamo-builders-example"})
	status, _, err := staleClient.CallVM(context.Background(), "http://"+system.VMs[2].CallerAddress, "GET", "booking/calendar", "", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status == 503 || status == 401, qt.IsTrue, qt.Commentf("status %d", status))
	eventually(t, "it has the new revision", func() bool { return system.Revision(system.VMs[2]) == 2 })
}

// TestLeavingServerGetsNoNewWorkFromAnyVM publishes a server as leaving. The
// platform goes down right after the publisher's write, so that the revision
// reaches the other VMs through their peers. No VM may send new work to the server.
func TestLeavingServerGetsNoNewWorkFromAnyVM(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 3})
	runLoad(t, system, 40, 23, func() {
		system.Set.BackendServers[0].State = object.ServerLeaving
		checkNoError(t, system.Publish(1))
		checkNoError(t, system.SetPlatformFaults(platformfake.Faults{DownUntil: time.Now().Add(time.Minute)}))
	})
	for _, vm := range system.VMs {
		eventually(t, "the revision is in force", func() bool { return system.Revision(vm) == 2 })
	}
	before := system.EngineRequests(0)
	runLoad(t, system, 20, 24, func() {})
	qt.Assert(t, system.EngineRequests(0), qt.Equals, before)
}

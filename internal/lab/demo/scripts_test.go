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

// bin has both programs, built with the race detector.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "endivespoke-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	bin = folder
	build := exec.Command("go", "build", "-race", "-o", folder, "./cmd/...")
	build.Dir = "../../.."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}

const (
	scriptLimit = 3 * time.Minute
	// underWay is when most generations of a script's load are in the middle.
	underWay = 1200 * time.Millisecond
)

// startSystem starts a small system whose paths can be cut.
func startSystem(t *testing.T, options demo.Options) *demo.System {
	options.Bin = bin
	options.Logs = t.TempDir()
	options.Forward = true
	options.Services = 2
	if options.Example == "" {
		options.Example = "../../../examples/villarreal.json"
	}
	if options.TokenGap == 0 {
		options.TokenGap = 15 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
	t.Cleanup(cancel)
	system, err := demo.Start(ctx, options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		system.Stop()
		checkLogs(t, options.Logs)
	})
	return system
}

// checkLogs fails the test if a process saw a data race or panicked, and shows
// the logs of a failed test.
func checkLogs(t *testing.T, folder string) {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
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

// runLoad sends generations, breaks the system under way and wants every answer
// complete and equal to the failure-free one.
func runLoad(t *testing.T, system *demo.System, requests int, seed uint64, breakIt func()) load.Report {
	ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
	defer cancel()
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		time.Sleep(underWay)
		breakIt()
	}()
	report := load.Run(ctx, load.Options{
		Clients:     system.Accounts(4),
		Model:       system.Set.Models[0].Name,
		EngineModel: system.Set.Versions[0].EngineModel,
		Requests:    requests,
		Every:       25 * time.Millisecond,
		PromptWords: 100,
		MinTokens:   40,
		MaxTokens:   200,
		Seed:        seed,
		KeyPrefix:   fmt.Sprint("script-", seed),
	})
	<-broken
	qt.Assert(t, report.Kept(), qt.IsTrue, qt.Commentf("%+v", report.Errors))
	return report
}

// script is one way to break a running system.
type script struct {
	name    string
	seed    uint64
	options demo.Options
	prepare func(t *testing.T, s *demo.System)
	breakIt func(t *testing.T, s *demo.System)
}

func standard() demo.Options {
	return demo.Options{VMs: 4, Engines: 4}
}

func must(t *testing.T, err error) {
	t.Helper()
	qt.Check(t, err, qt.IsNil)
}

func nothing(*testing.T, *demo.System) {}

func scripts() []script {
	return []script{
		{name: "engine dies before the first token", seed: 1, options: standard(), breakIt: nothing, prepare: func(t *testing.T, s *demo.System) {
			must(t, s.EngineFaults(0, enginefake.Faults{CrashAtToken: 1}))
		}},
		{name: "engine dies in the middle", seed: 2, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			s.KillEngine(1)
		}},
		{name: "engine dies after the last token before the end mark", seed: 3, options: standard(), breakIt: nothing, prepare: func(t *testing.T, s *demo.System) {
			must(t, s.EngineFaults(2, enginefake.Faults{CrashBeforeEnd: true}))
		}},
		{name: "engines die again during the resume", seed: 4, options: standard(), prepare: nothing, breakIt: func(t *testing.T, s *demo.System) {
			must(t, s.EngineFaults(1, enginefake.Faults{CrashAtToken: 30}))
			s.KillEngine(0)
			time.Sleep(150 * time.Millisecond)
			s.KillEngine(2)
		}},
		{name: "engine pauses and comes back with late tokens", seed: 5, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			s.PauseEngine(0)
			time.Sleep(1500 * time.Millisecond)
			s.ResumeEngine(0)
		}},
		{name: "engine restarts with nothing in memory", seed: 6, options: standard(), prepare: nothing, breakIt: func(t *testing.T, s *demo.System) {
			s.KillEngine(3)
			must(t, s.RestartEngine(context.Background(), 3))
		}},
		{name: "VM is killed", seed: 7, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			s.KillVM(1)
		}},
		{name: "VM pauses and goes on after another took over", seed: 8, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			s.PauseVM(0)
			time.Sleep(3 * time.Second)
			s.ResumeVM(0)
		}},
		{name: "owner and copy are killed together", seed: 9, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			s.KillVM(0)
			s.KillVM(1)
		}},
		{name: "VM and engine are killed together", seed: 10, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			s.KillVM(2)
			s.KillEngine(1)
		}},
		{name: "connections to engines go silent", seed: 11, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			for _, engine := range s.Engines {
				engine.Path.Blackhole()
			}
		}},
		{name: "connections of callers go silent", seed: 12, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			for _, vm := range s.VMs {
				vm.CallerPath.Blackhole()
			}
		}},
		{name: "connections between VMs go silent", seed: 13, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			for _, vm := range s.VMs {
				vm.PeerPath.Blackhole()
			}
		}},
		{name: "connections go silent one way", seed: 14, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			for _, engine := range s.Engines {
				engine.Path.BlackholeOneWay()
			}
			for _, vm := range s.VMs {
				vm.PeerPath.BlackholeOneWay()
				vm.CallerPath.BlackholeOneWay()
			}
		}},
		{name: "failure domains are cut from each other", seed: 15, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			cutDomain(s, s.VMs[0].FailureDomain)
			time.Sleep(2500 * time.Millisecond)
			heal(s)
		}},
		{name: "platform is down", seed: 16, options: standard(), breakIt: nothing, prepare: func(t *testing.T, s *demo.System) {
			must(t, s.PlatformFaults(platformfake.Faults{DownUntil: time.Now().Add(time.Minute)}))
		}},
		{name: "a VM and then its successors are killed", seed: 17, options: standard(), prepare: nothing, breakIt: func(_ *testing.T, s *demo.System) {
			s.KillVM(0)
			time.Sleep(700 * time.Millisecond)
			s.KillVM(1)
			time.Sleep(700 * time.Millisecond)
			s.KillVM(2)
		}},
	}
}

// cutDomain cuts the VMs of a failure domain from those of all others.
func cutDomain(s *demo.System, domain string) {
	for _, vm := range s.VMs {
		inside := vm.FailureDomain == domain
		vm.PeerPath.Block(func(first []byte) bool {
			for _, other := range s.VMs {
				if (other.FailureDomain == domain) != inside && strings.Contains(string(first), "Peer "+other.ID+":") {
					return true
				}
			}
			return false
		})
	}
}

func heal(s *demo.System) {
	for _, vm := range s.VMs {
		vm.PeerPath.Block(nil)
	}
}

// TestScripts breaks a running system in each way. No token may be missing,
// repeated or mixed, and no answer may be lost.
func TestScripts(t *testing.T) {
	for _, test := range scripts() {
		t.Run(strings.ReplaceAll(test.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			system := startSystem(t, test.options)
			test.prepare(t, system)
			report := runLoad(t, system, 40, test.seed, func() { test.breakIt(t, system) })
			qt.Assert(t, report.Restarts, qt.Equals, 0)
		})
	}
}

// TestCulpritIsCondemnedAndInnocentsComplete sends a request that kills every
// engine it runs on, again and again under new keys, among innocent ones.
func TestCulpritIsCondemnedAndInnocentsComplete(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 8})
	for index := range system.Engines {
		must(t, system.EngineFaults(index, enginefake.Faults{CrashOnWord: "poison", CrashAfter: 3}))
	}
	culprit := make(chan []string, 1)
	runLoad(t, system, 40, 21, func() { culprit <- sendCulprit(system) })
	lost := 0
	for index := range system.Engines {
		if system.EngineDied(index) {
			lost++
		}
	}
	answers := <-culprit
	for _, answer := range answers {
		qt.Check(t, answer, qt.Equals, "crashesServers failed")
	}
	// Four crashes prove the culprit's guilt; no resend may cost another engine.
	qt.Assert(t, lost <= 4, qt.IsTrue, qt.Commentf("%d engines lost", lost))
}

// sendCulprit sends the same poison five times and gives the final answers.
func sendCulprit(system *demo.System) []string {
	account := system.Accounts(1)[0]
	answers := []string{}
	for i := range 5 {
		request := client.Request{Key: fmt.Sprint("culprit-", i), Model: system.Set.Models[0].Name, Prompt: "wall poison wall", MaxTokens: 50}
		_, err := account.Client.Generate(context.Background(), request, nil)
		var refused *client.ProblemError
		if !errors.As(err, &refused) {
			answers = append(answers, fmt.Sprint(err))
			continue
		}
		answers = append(answers, fmt.Sprint(refused.Document.Code, " ", refused.Document.Outcome))
		time.Sleep(4 * gossip.HeartbeatInterval) // The word reaches every VM.
	}
	return answers
}

// TestEveryVMIsReplacedUnderLoad replaces all VMs one after another, each by a
// graceful stop, while long generations run. Callers keep their old locate
// answers; no request may be cut, so no caller may even have to reconnect.
func TestEveryVMIsReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	options := demo.Options{VMs: 3, Engines: 4, TokenGap: 30 * time.Millisecond, VMFlags: []string{"--leave-wait", "11s"}}
	options.Silence = time.Minute // Only a cut may make a caller reconnect here, not a busy machine.
	system := startSystem(t, options)
	accounts := system.Accounts(4) // Before VMs are added at the same time.
	replaced := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
	defer cancel()
	go func() {
		defer close(replaced)
		time.Sleep(underWay)
		for index := range 3 {
			vm, err := system.StartVM(ctx, fmt.Sprint("vm-new-", index), system.VMs[index].FailureDomain)
			must(t, err)
			must(t, system.ListVMs())
			must(t, system.Ready(ctx, vm))
			system.StopVM(index)
			must(t, system.ListVMs())
		}
	}()
	report := load.Run(ctx, load.Options{
		Clients:     accounts,
		Model:       system.Set.Models[0].Name,
		EngineModel: system.Set.Versions[0].EngineModel,
		Requests:    120,
		Every:       300 * time.Millisecond,
		PromptWords: 50,
		MinTokens:   50,
		MaxTokens:   250,
		Seed:        22,
		KeyPrefix:   "replace",
	})
	<-replaced
	qt.Assert(t, report.Kept(), qt.IsTrue, qt.Commentf("%+v", report.Errors))
	qt.Assert(t, report.Reconnects, qt.Equals, 0)
}

// TestVMCutFromAllStopsTakingRequests cuts one VM from the platform and from its
// peers. It must refuse new requests by its deadline and come back when healed,
// with the revision that was published meanwhile.
func TestVMCutFromAllStopsTakingRequests(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 1})
	ctx := context.Background()
	alone := system.VMs[3]
	cutVM(system, alone)
	eventually(t, "it refuses new requests", func() bool { return !system.Accepts(alone) })
	system.Set.ClientAccounts[0].Weight++
	must(t, system.Publish(1))
	for _, vm := range system.VMs[:3] {
		eventually(t, "the others have the new revision", func() bool { return system.Revision(vm) == 2 })
		qt.Check(t, system.Accepts(vm), qt.IsTrue)
	}
	qt.Check(t, system.Accepts(alone), qt.IsFalse)
	qt.Check(t, system.Revision(alone), qt.Equals, uint64(1))
	heal(system)
	system.PlatformPath(alone).Block(nil)
	must(t, system.Ready(ctx, alone))
	eventually(t, "it has the new revision", func() bool { return system.Revision(alone) == 2 })
}

// cutVM cuts one VM from the platform and from every other VM.
func cutVM(s *demo.System, alone *demo.VM) {
	s.PlatformPath(alone).Block(func([]byte) bool { return true })
	for _, vm := range s.VMs {
		inside := vm == alone
		vm.PeerPath.Block(func(first []byte) bool {
			fromAlone := strings.Contains(string(first), "Peer "+alone.ID+":")
			return inside != fromAlone
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

// TestPausedVMComesBackWithTheNewRevision pauses a VM through a publish. It must
// not serve its old revision to new requests when it goes on.
func TestPausedVMComesBackWithTheNewRevision(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 1})
	system.PauseVM(2)
	system.Set.ClientAccounts[0].TokenHashes = []string{object.HashToken("rotated")}
	must(t, system.Publish(1))
	time.Sleep(revision.FreshnessLimit + time.Second)
	system.ResumeVM(2)
	stale := client.New(client.Options{Entries: []string{"http://" + system.VMs[2].Caller}, Token: "alamo-builders-example"})
	status, _, err := stale.CallVM(context.Background(), "http://"+system.VMs[2].Caller, "GET", "booking/calendar", "", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status == 503 || status == 401, qt.IsTrue, qt.Commentf("status %d", status))
	eventually(t, "it has the new revision", func() bool { return system.Revision(system.VMs[2]) == 2 })
}

// TestLeavingServerIsLeftOnEveryVM publishes a server as leaving while the store
// is down for all but the publisher's write, and wants no new work there.
func TestLeavingServerIsLeftOnEveryVM(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: 4, Engines: 3})
	runLoad(t, system, 40, 23, func() {
		system.Set.BackendServers[0].State = object.ServerLeaving
		must(t, system.Publish(1))
		must(t, system.PlatformFaults(platformfake.Faults{DownUntil: time.Now().Add(time.Minute)}))
	})
	for _, vm := range system.VMs {
		eventually(t, "the revision is in force", func() bool { return system.Revision(vm) == 2 })
	}
	before := system.EngineRequests(0)
	runLoad(t, system, 20, 24, func() {})
	qt.Assert(t, system.EngineRequests(0), qt.Equals, before)
}

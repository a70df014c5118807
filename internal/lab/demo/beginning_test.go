package demo_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
)

// enginesAllowed is the number of engines that prompts with an equal beginning may crash: five, and
// three sends after the fifth.
const enginesAllowed = 8

// crashingBeginning is the beginning of prompts that crash engines.
var crashingBeginning = "poison " + strings.Repeat("wall ", 80)

// startSystemWithCrashingWord starts a system whose engines crash under prompts with crashingBeginning.
func startSystemWithCrashingWord(t *testing.T, options demo.Options) *demo.System {
	system := startSystem(t, options)
	for index := range system.Engines {
		checkNoError(t, system.SetEngineFaults(index, enginefake.Faults{CrashOnWord: "poison", CrashAfter: 3}))
	}
	return system
}

func exitedEngines(system *demo.System) (count int) {
	for index := range system.Engines {
		if system.EngineExited(index) {
			count++
		}
	}
	return count
}

// Twelve prompts begin alike, with what crashes engines; no two of them are alike.
func TestPromptBeginningThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	system := startSystemWithCrashingWord(t, demo.Options{VMs: 3, Engines: 14})
	accounts := system.Accounts(3)
	refused := 0
	for i := range 12 {
		request := client.Request{Key: fmt.Sprint("crashing-", i), Model: system.Set.Models[0].Name, Prompt: fmt.Sprint(crashingBeginning, "plan ", i), MaxTokens: 50}
		_, err := accounts[i%len(accounts)].Client.Generate(context.Background(), request, nil)
		qt.Assert(t, exitedEngines(system) <= enginesAllowed, qt.IsTrue, qt.Commentf("%d engines lost by request %d", exitedEngines(system), i))
		var refusal *client.ProblemError
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
		if refusal.Document.Code == "crashesServers" {
			refused++
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Logf("%d engines lost, %d requests refused", exitedEngines(system), refused)
	qt.Check(t, refused >= 9, qt.IsTrue, qt.Commentf("%d refused", refused))
	request := client.Request{Key: "sound", Model: system.Set.Models[0].Name, Prompt: strings.Repeat("wall ", 80) + "plan", MaxTokens: 50}
	_, err := accounts[0].Client.Generate(context.Background(), request, nil)
	checkNoError(t, err)
}

// Twelve prompts that begin with what crashes engines come at six VMs at the same time, once the
// block of the beginning has ended.
func TestBlockedBeginningIsTriedOnceByAllVMs(t *testing.T) {
	t.Parallel()
	system := startSystemWithCrashingWord(t, demo.Options{VMs: 6, Engines: 16})
	accounts := system.Accounts(6)
	send := func(i int) (refusal *client.ProblemError) {
		request := client.Request{Key: fmt.Sprint("crashing-", i), Model: system.Set.Models[0].Name, Prompt: fmt.Sprint(crashingBeginning, "plan ", i), MaxTokens: 50}
		_, err := accounts[i%len(accounts)].Client.Generate(context.Background(), request, nil)
		qt.Check(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
		return refusal
	}
	blockedUntil := time.Time{}
	for i := range 6 {
		if refusal := send(i); refusal != nil && refusal.RetryAt.After(blockedUntil) {
			blockedUntil = refusal.RetryAt
		}
		time.Sleep(200 * time.Millisecond)
	}
	before := exitedEngines(system)
	qt.Assert(t, before <= enginesAllowed, qt.IsTrue, qt.Commentf("%d engines lost", before))
	time.Sleep(time.Until(blockedUntil))
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { send(10 + i) })
	}
	group.Wait()
	t.Logf("%d engines lost, then %d more", before, exitedEngines(system)-before)
	qt.Check(t, exitedEngines(system) <= enginesAllowed, qt.IsTrue, qt.Commentf("%d engines lost", exitedEngines(system)))
}

package demo_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
)

// contentVMs is the number of VMs that a content is sent to at once, and contentEnginesAllowed the
// number of engines that it may crash then: each VM sends it twice before it hears of crashes at
// the others, and all send it to the same engine once it is isolated.
const (
	contentVMs            = 4
	contentEnginesAllowed = 2*contentVMs + 1
)

// TestContentSentToSeveralVMsCrashesFewEngines sends a content that crashes engines to all VMs at
// once, each time with another key, and again later.
func TestContentSentToSeveralVMsCrashesFewEngines(t *testing.T) {
	t.Parallel()
	system := startSystem(t, demo.Options{VMs: contentVMs, Engines: 14})
	for index := range system.Engines {
		checkNoError(t, system.SetEngineFaults(index, enginefake.Faults{CrashOnWord: "poison", CrashAfter: 3}))
	}
	account := system.Accounts(1)[0]
	for round := range 2 {
		sending := sync.WaitGroup{}
		for _, vm := range system.VMs {
			sending.Go(func() {
				atVM := client.New(client.Options{Entries: []string{"http://" + vm.CallerAddress}, Token: account.Name + "-example"})
				request := client.Request{Key: fmt.Sprint("crashing-", round, vm.ID), Model: system.Set.Models[0].Name, Prompt: "wall poison wall", MaxTokens: 50}
				_, err := atVM.Generate(context.Background(), request, nil)
				var refusal *client.ProblemError
				qt.Check(t, errors.As(err, &refusal) && refusal.Document.Code == "crashesServers", qt.IsTrue, qt.Commentf("%v", err))
			})
		}
		sending.Wait()
		time.Sleep(time.Second)
	}
	exited := 0
	for index := range system.Engines {
		if system.EngineExited(index) {
			exited++
		}
	}
	t.Logf("%d engines lost", exited)
	qt.Assert(t, exited <= contentEnginesAllowed, qt.IsTrue, qt.Commentf("%d engines lost", exited))
}

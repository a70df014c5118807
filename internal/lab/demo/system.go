// Package demo runs the whole system as separate processes on loopback: the
// stand-ins of the lab, and several VMs in several failure domains.
//
// # Usage
//
//	system, err := demo.Start(ctx, demo.Options{Bin: "bin", Example: "examples/villarreal.json", VMs: 4, Engines: 6})
//	defer system.Stop()
//	system.KillVM(0)
//	system.KillEngine(2)
//
// demo.Run is the demonstration of the README: load, failures, a table.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/load"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

const (
	// peerKey is the demonstration's shared key. It protects nothing.
	peerKey = "ZGVtby1kZW1vLWRlbW8tZGVtby1kZW1vLWRlbW8tZGVtbw=="
	// operatorToken is accepted for the first configuration.
	operatorToken = "villarreal-operator-example"
)

// Options shapes a system. Engines and Services bound how many of the example's
// backend servers are started.
type Options struct {
	Bin       string // Folder with the two programs.
	Logs      string // Folder for the processes' logs.
	Example   string
	VMs       int
	Engines   int
	Services  int
	TokenGap  time.Duration
	Prefill   time.Duration
	VMFlags   []string
	Profile   object.Profile // Replaces the example's, if set.
	BurstGap  time.Duration
	BurstEach int
}

// VM is one entry VM's process.
type VM struct {
	ID       string
	Caller   string
	Operator string
	process  *process
}

// Engine is one engine's process.
type Engine struct {
	Server  object.BackendServer
	process *process
	dead    bool
	flags   []string
}

// System is everything that was started.
type System struct {
	Options     Options
	Set         object.Set
	Platform    string
	VMs         []*VM
	Engines     []*Engine
	ServiceURLs []string
	platform    *process
	services    []*process
}

// Start starts everything, publishes the configuration and waits until every VM
// accepts requests.
func Start(ctx context.Context, options Options) (system *System, err error) {
	s := &System{Options: options}
	if err = s.start(ctx); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *System) start(ctx context.Context) (err error) {
	if err = s.readExample(); err != nil {
		return errors.Trace(err)
	}
	if err = s.startPlatform(ctx); err != nil {
		return errors.Trace(err)
	}
	if err = s.startServers(ctx); err != nil {
		return errors.Trace(err)
	}
	if err = s.startVMs(ctx); err != nil {
		return errors.Trace(err)
	}
	if err = s.publish(); err != nil {
		return errors.Trace(err)
	}
	for _, vm := range s.VMs {
		if err = waitFor(ctx, "http://"+vm.Operator+"/readyz"); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (s *System) readExample() (err error) {
	var body []byte
	if body, err = os.ReadFile(s.Options.Example); err != nil {
		return errors.Trace(err)
	}
	if s.Set, err = object.Parse(body); err != nil {
		return errors.Trace(err)
	}
	if s.Options.Profile != object.ProfileUnset {
		s.Set.Profile = s.Options.Profile
	}
	return nil
}

func (s *System) program(name string) string {
	return filepath.Join(s.Options.Bin, name)
}

func (s *System) startPlatform(ctx context.Context) (err error) {
	var addresses []string
	if addresses, err = freePorts(1); err != nil {
		return errors.Trace(err)
	}
	s.Platform = "http://" + addresses[0]
	if s.platform, err = start(s.Options.Logs, "platform", s.program("endivespoke-lab"), "platform", "--listen", addresses[0]); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(waitFor(ctx, s.Platform+"/vms"))
}

// startServers starts the example's first backend servers, at addresses of
// their own, and leaves the rest out of the configuration.
func (s *System) startServers(ctx context.Context) (err error) {
	kept := []object.BackendServer{}
	for _, server := range s.Set.BackendServers {
		isEngine := len(server.Versions) > 0
		if isEngine && len(s.Engines) < s.Options.Engines {
			err = s.startEngine(ctx, &server)
		} else if !isEngine && len(s.services) < s.Options.Services {
			err = s.startService(ctx, &server)
		} else {
			continue
		}
		if err != nil {
			return errors.Trace(err)
		}
		kept = append(kept, server)
	}
	s.Set.BackendServers = kept
	return nil
}

func (s *System) startEngine(ctx context.Context, server *object.BackendServer) (err error) {
	var addresses []string
	if addresses, err = freePorts(1); err != nil {
		return errors.Trace(err)
	}
	server.Address = addresses[0]
	engine := &Engine{Server: *server, flags: []string{
		"engine",
		"--listen", server.Address,
		"--token-gap", s.Options.TokenGap.String(),
		"--prefill", s.Options.Prefill.String(),
		"--slots", fmt.Sprint(server.MaxConcurrent),
		"--burst-every", fmt.Sprint(s.Options.BurstEach),
		"--burst-gap", s.Options.BurstGap.String(),
	}}
	s.Engines = append(s.Engines, engine)
	return errors.Trace(s.run(ctx, engine))
}

func (s *System) run(ctx context.Context, engine *Engine) (err error) {
	if engine.process, err = start(s.Options.Logs, engine.Server.Name, s.program("endivespoke-lab"), engine.flags...); err != nil {
		return errors.Trace(err)
	}
	engine.dead = false
	return errors.Trace(waitFor(ctx, "http://"+engine.Server.Address+"/load"))
}

func (s *System) startService(ctx context.Context, server *object.BackendServer) (err error) {
	var addresses []string
	if addresses, err = freePorts(1); err != nil {
		return errors.Trace(err)
	}
	server.Address = addresses[0]
	url := "http://" + server.Address
	s.ServiceURLs = append(s.ServiceURLs, url)
	var p *process
	if p, err = start(s.Options.Logs, server.Name, s.program("endivespoke-lab"), "service", "--listen", server.Address); err != nil {
		return errors.Trace(err)
	}
	s.services = append(s.services, p)
	return errors.Trace(waitFor(ctx, url+"/executions"))
}

// startVMs starts the VMs, spread over the example's failure domains, and tells
// the platform of them.
func (s *System) startVMs(ctx context.Context) (err error) {
	domains := []string{}
	for _, server := range s.Set.BackendServers {
		if len(domains) == 0 || server.FailureDomain != domains[0] {
			domains = append(domains, server.FailureDomain)
		}
		if len(domains) == 3 {
			break
		}
	}
	listed := []vmlist.VM{}
	for i := range s.Options.VMs {
		var entry vmlist.VM
		if entry, err = s.startVM(fmt.Sprintf("vm-%d", i+1), domains[i%len(domains)]); err != nil {
			return errors.Trace(err)
		}
		listed = append(listed, entry)
	}
	var body []byte
	if body, err = json.Marshal(listed); err != nil {
		return errors.Trace(err)
	}
	if err = put(s.Platform+"/vms", body, nil); err != nil {
		return errors.Trace(err)
	}
	for _, vm := range s.VMs {
		if err = waitFor(ctx, "http://"+vm.Operator+"/healthz"); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (s *System) startVM(id, domain string) (entry vmlist.VM, err error) {
	var addresses []string
	if addresses, err = freePorts(3); err != nil {
		return vmlist.VM{}, errors.Trace(err)
	}
	vm := &VM{ID: id, Caller: addresses[0], Operator: addresses[2]}
	flags := append([]string{
		"serve",
		"--id", id,
		"--failure-domain", domain,
		"--caller-listen", addresses[0],
		"--peer-listen", addresses[1],
		"--operator-listen", addresses[2],
		"--platform", s.Platform,
		"--peer-key", peerKey,
		"--bootstrap-hash", object.HashToken(operatorToken),
	}, s.Options.VMFlags...)
	if vm.process, err = start(s.Options.Logs, id, s.program("endivespoke"), flags...); err != nil {
		return vmlist.VM{}, errors.Trace(err)
	}
	s.VMs = append(s.VMs, vm)
	return vmlist.VM{ID: id, FailureDomain: domain, CallerAddress: addresses[0], PeerAddress: addresses[1], State: vmlist.StateLive}, nil
}

func (s *System) publish() error {
	header := map[string]string{"Authorization": "Bearer " + operatorToken}
	return errors.Trace(put("http://"+s.VMs[0].Operator+"/v1/admin/configuration", object.Encode(s.Set), header))
}

// KillVM ends a VM's process without notice.
func (s *System) KillVM(index int) {
	s.VMs[index].process.kill()
}

// KillEngine ends an engine's process without notice.
func (s *System) KillEngine(index int) {
	s.Engines[index].dead = true
	s.Engines[index].process.kill()
}

// RestartEngine starts an engine again at its address, with nothing in memory.
func (s *System) RestartEngine(ctx context.Context, index int) error {
	return s.run(ctx, s.Engines[index])
}

// EngineStats adds up the work of the engines that live.
func (s *System) EngineStats() (sum enginefake.Stats) {
	for _, engine := range s.Engines {
		if engine.dead {
			continue
		}
		body, err := get("http://" + engine.Server.Address + "/load")
		if err != nil {
			continue
		}
		var stats enginefake.Stats
		if err := json.Unmarshal(body, &stats); err != nil {
			continue
		}
		sum.Generated += stats.Generated
		sum.Prefilled += stats.Prefilled
		sum.Requests += stats.Requests
		sum.Resumes += stats.Resumes
	}
	return sum
}

// Accounts gives callers for the example's first client accounts.
func (s *System) Accounts(count int) []load.Account {
	entries := []string{}
	for _, vm := range s.VMs {
		entries = append(entries, "http://"+vm.Caller)
	}
	accounts := []load.Account{}
	for _, account := range s.Set.ClientAccounts[:min(count, len(s.Set.ClientAccounts))] {
		c := client.New(client.Options{Entries: entries, Token: account.Name + "-example"})
		accounts = append(accounts, load.Account{Name: account.Name, Client: c})
	}
	return accounts
}

// Stop ends everything that was started.
func (s *System) Stop() {
	for _, vm := range s.VMs {
		vm.process.kill()
	}
	for _, engine := range s.Engines {
		if engine.process != nil {
			engine.process.stop()
		}
	}
	for _, service := range s.services {
		service.stop()
	}
	if s.platform != nil {
		s.platform.stop()
	}
}

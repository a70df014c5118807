// Package demo runs the whole system as separate processes on loopback: the lab's
// fake platform, engines and services, and several VMs in several failure domains.
//
// # Usage
//
//	system, err := demo.Start(ctx, demo.Options{Bin: "bin", Example: "examples/villarreal.json", VMs: 4, Engines: 6})
//	defer system.Stop()
//	system.KillVM(0)
//	system.KillEngine(2)
//
// demo.Run is the demonstration of the README: it sends load, injects failures
// and prints a table of results.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/forward"
	"github.com/endivespoke/endivespoke/internal/lab/load"
	"github.com/endivespoke/endivespoke/internal/lab/loopback"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

const (
	// peerKey is the peers' shared key. It is public and protects nothing.
	peerKey = "ZGVtby1kZW1vLWRlbW8tZGVtby1kZW1vLWRlbW8tZGVtbw=="
	// operatorToken publishes the configurations. Its hash is also the VMs' bootstrap
	// hash, which lets it publish the first one.
	operatorToken = "villarreal-operator-example"
)

// Options configures a system. Engines and Services limit how many of the
// example's backend servers are started.
type Options struct {
	Bin             string // Directory of the two programs.
	LogDir          string // Directory for the processes' logs.
	Example         string // File with the configuration to publish.
	VMs             int
	Engines         int
	Services        int
	TokenGap        time.Duration
	PrefillPerToken time.Duration
	VMFlags         []string
	VMCores         int            // Limits the cores of each VM's process, if above 0.
	Profile         object.Profile // Replaces the example's profile, if set.
	BurstGap        time.Duration
	BurstEvery      int
	IdleTimeout     time.Duration         // Of the callers' connections; the client's default if 0.
	Adjust          func(set *object.Set) // Changes the configuration before it is published, if set.
	Forward         bool                  // Puts forwarders in front of the addresses of VMs, engines and the platform.
}

// VM is the process of one entry VM.
type VM struct {
	ID                string
	FailureDomain     string
	CallerAddress     string
	PeerAddress       string
	OperatorAddress   string
	CallerForwarder   *forward.Forwarder // Nil without Options.Forward.
	PeerForwarder     *forward.Forwarder
	platformForwarder *forward.Forwarder
	process           *process
	stopped           bool
}

// Engine is the process of one fake engine.
type Engine struct {
	Server        object.BackendServer
	Forwarder     *forward.Forwarder // Nil without Options.Forward.
	listenAddress string             // Without the forwarder.
	process       *process
	killed        bool
	previousStats enginefake.Stats // Sum over the engine's killed processes.
	flags         []string
}

// System is a running system. It is not safe for concurrent use: a test that
// adds VMs in a goroutine reads what else it needs before it starts the goroutine.
type System struct {
	Options     Options
	Set         object.Set
	PlatformURL string
	VMs         []*VM
	Engines     []*Engine
	ServiceURLs []string
	platform    *process
	services    []*process
}

// Start starts all processes, publishes the configuration and waits until every
// VM accepts requests.
func Start(ctx context.Context, options Options) (system *System, err error) {
	s := &System{Options: options}
	if err = s.start(ctx); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *System) start(ctx context.Context) (err error) {
	if err = s.loadExample(); err != nil {
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
	if err = s.Publish(0); err != nil {
		return errors.Trace(err)
	}
	for _, vm := range s.VMs {
		if err = s.WaitReady(ctx, vm); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (s *System) loadExample() (err error) {
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
	if s.Options.Adjust != nil {
		s.Options.Adjust(&s.Set)
	}
	return nil
}

func (s *System) programPath(name string) string {
	return filepath.Join(s.Options.Bin, name)
}

func (s *System) startPlatform(ctx context.Context) (err error) {
	var addresses []string
	if addresses, err = loopback.Addresses(1); err != nil {
		return errors.Trace(err)
	}
	s.PlatformURL = "http://" + addresses[0]
	if s.platform, err = start(s.Options.LogDir, "platform", 0, s.programPath("endivespoke-lab"), "platform", "--listen", addresses[0]); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(waitUntilOK(ctx, s.PlatformURL+"/vms"))
}

// startServers starts the example's first backend servers on free addresses and
// removes the others from the configuration.
func (s *System) startServers(ctx context.Context) (err error) {
	started := []object.BackendServer{}
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
		started = append(started, server)
	}
	s.Set.BackendServers = started
	return nil
}

func (s *System) startEngine(ctx context.Context, server *object.BackendServer) (err error) {
	var addresses []string
	if addresses, err = loopback.Addresses(1); err != nil {
		return errors.Trace(err)
	}
	engine := &Engine{listenAddress: addresses[0]}
	server.Address = addresses[0]
	if s.Options.Forward {
		if engine.Forwarder, err = forward.New(engine.listenAddress); err != nil {
			return errors.Trace(err)
		}
		server.Address = engine.Forwarder.Address()
	}
	engine.Server = *server
	engine.flags = []string{
		"engine",
		"--listen", engine.listenAddress,
		"--token-gap", s.Options.TokenGap.String(),
		"--prefill", s.Options.PrefillPerToken.String(),
		"--slots", fmt.Sprint(server.MaxConcurrent),
		"--burst-every", fmt.Sprint(s.Options.BurstEvery),
		"--burst-gap", s.Options.BurstGap.String(),
	}
	s.Engines = append(s.Engines, engine)
	return errors.Trace(s.launchEngine(ctx, engine))
}

func (s *System) launchEngine(ctx context.Context, engine *Engine) (err error) {
	if engine.process, err = start(s.Options.LogDir, engine.Server.Name, 1, s.programPath("endivespoke-lab"), engine.flags...); err != nil {
		return errors.Trace(err)
	}
	engine.killed = false
	return errors.Trace(waitUntilOK(ctx, "http://"+engine.listenAddress+"/load"))
}

func (s *System) startService(ctx context.Context, server *object.BackendServer) (err error) {
	var addresses []string
	if addresses, err = loopback.Addresses(1); err != nil {
		return errors.Trace(err)
	}
	server.Address = addresses[0]
	url := "http://" + server.Address
	s.ServiceURLs = append(s.ServiceURLs, url)
	var p *process
	if p, err = start(s.Options.LogDir, server.Name, 0, s.programPath("endivespoke-lab"), "service", "--listen", server.Address); err != nil {
		return errors.Trace(err)
	}
	s.services = append(s.services, p)
	return errors.Trace(waitUntilOK(ctx, url+"/executions"))
}

// startVMs starts the VMs, distributed over the example's failure domains, and
// publishes the VM list.
func (s *System) startVMs(ctx context.Context) (err error) {
	domains := s.failureDomains()
	for i := range s.Options.VMs {
		if _, err = s.StartVM(ctx, fmt.Sprintf("vm-%d", i+1), domains[i%len(domains)]); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(s.PublishVMList())
}

// failureDomains returns the failure domains of the backend servers, in the order
// of their first use.
func (s *System) failureDomains() []string {
	domains := []string{}
	for _, server := range s.Set.BackendServers {
		if !slices.Contains(domains, server.FailureDomain) {
			domains = append(domains, server.FailureDomain)
		}
	}
	return domains
}

// PublishVMList replaces the platform's VM list by the VMs that were not stopped.
func (s *System) PublishVMList() error {
	listed := []vmlist.VM{}
	for _, vm := range s.VMs {
		if !vm.stopped {
			listed = append(listed, vmlist.VM{ID: vm.ID, FailureDomain: vm.FailureDomain, CallerAddress: vm.CallerAddress, PeerAddress: vm.PeerAddress, State: vmlist.StateLive})
		}
	}
	body, err := json.Marshal(listed)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(put(s.PlatformURL+"/vms", body, nil))
}

// StartVM starts another VM. PublishVMList adds it to the platform's VM list.
func (s *System) StartVM(ctx context.Context, id, domain string) (vm *VM, err error) {
	var addresses []string
	if addresses, err = loopback.Addresses(3); err != nil {
		return nil, errors.Trace(err)
	}
	vm = &VM{ID: id, FailureDomain: domain, CallerAddress: addresses[0], PeerAddress: addresses[1], OperatorAddress: addresses[2]}
	if err = s.forwardVM(vm); err != nil {
		return nil, errors.Trace(err)
	}
	flags := append([]string{
		"serve",
		"--id", id,
		"--failure-domain", domain,
		"--caller-listen", addresses[0],
		"--caller-address", vm.CallerAddress,
		"--peer-listen", addresses[1],
		"--peer-address", vm.PeerAddress,
		"--operator-listen", addresses[2],
		"--platform", s.platformURLFor(vm),
		"--peer-key", peerKey,
		"--bootstrap-hash", object.HashToken(operatorToken),
	}, s.Options.VMFlags...)
	if vm.process, err = start(s.Options.LogDir, id, s.Options.VMCores, s.programPath("endivespoke"), flags...); err != nil {
		return nil, errors.Trace(err)
	}
	s.VMs = append(s.VMs, vm)
	return vm, errors.Trace(waitUntilOK(ctx, "http://"+vm.OperatorAddress+"/healthz"))
}

func (s *System) forwardVM(vm *VM) (err error) {
	if !s.Options.Forward {
		return nil
	}
	if vm.CallerForwarder, err = forward.New(vm.CallerAddress); err != nil {
		return errors.Trace(err)
	}
	if vm.PeerForwarder, err = forward.New(vm.PeerAddress); err != nil {
		return errors.Trace(err)
	}
	if vm.platformForwarder, err = forward.New(strings.TrimPrefix(s.PlatformURL, "http://")); err != nil {
		return errors.Trace(err)
	}
	vm.CallerAddress = vm.CallerForwarder.Address()
	vm.PeerAddress = vm.PeerForwarder.Address()
	return nil
}

// platformURLFor returns the platform's URL as configured on a VM.
func (s *System) platformURLFor(vm *VM) string {
	if vm.platformForwarder == nil {
		return s.PlatformURL
	}
	return "http://" + vm.platformForwarder.Address()
}

// PlatformForwarder returns the forwarder between a VM and the platform. It is nil
// without Options.Forward.
func (s *System) PlatformForwarder(vm *VM) *forward.Forwarder {
	return vm.platformForwarder
}

// WaitReady waits until a VM accepts requests.
func (s *System) WaitReady(ctx context.Context, vm *VM) error {
	return errors.Trace(waitUntilOK(ctx, "http://"+vm.OperatorAddress+"/readyz"))
}

// Accounts returns clients for the example's first client accounts.
func (s *System) Accounts(count int) []load.Account {
	entries := []string{}
	for _, vm := range s.VMs {
		entries = append(entries, "http://"+vm.CallerAddress)
	}
	accounts := []load.Account{}
	for _, account := range s.Set.ClientAccounts[:min(count, len(s.Set.ClientAccounts))] {
		c := client.New(client.Options{Entries: entries, Token: account.Name + "-example", IdleTimeout: s.Options.IdleTimeout})
		accounts = append(accounts, load.Account{Name: account.Name, Client: c})
	}
	return accounts
}

// LoadOptions returns the options of a load on this system, except for its size.
func (s *System) LoadOptions(accounts int) load.Options {
	return load.Options{
		Accounts:    s.Accounts(accounts),
		Model:       s.Set.Models[0].Name,
		EngineModel: s.Set.Versions[0].EngineModel,
	}
}

// Stop ends all processes and closes the forwarders.
func (s *System) Stop() {
	for _, vm := range s.VMs {
		vm.process.kill()
		closeForwarder(vm.CallerForwarder)
		closeForwarder(vm.PeerForwarder)
		closeForwarder(vm.platformForwarder)
	}
	for _, engine := range s.Engines {
		if engine.process != nil {
			engine.process.kill()
		}
		closeForwarder(engine.Forwarder)
	}
	for _, service := range s.services {
		service.stop()
	}
	if s.platform != nil {
		s.platform.stop()
	}
}

func closeForwarder(forwarder *forward.Forwarder) {
	if forwarder != nil {
		forwarder.Close()
	}
}

// Publish publishes the system's set as the successor of revision base. Base 0
// means that no revision exists yet.
func (s *System) Publish(base uint64) error {
	header := map[string]string{"Authorization": "Bearer " + operatorToken}
	if base > 0 {
		header["If-Match"] = fmt.Sprintf("%q", fmt.Sprint(base))
	}
	return errors.Trace(put("http://"+s.VMs[0].OperatorAddress+"/v1/admin/configuration", object.Encode(s.Set), header))
}

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
	VMCores   int            // Bounds the cores of each VM's process, if above 0.
	Profile   object.Profile // Replaces the example's, if set.
	BurstGap  time.Duration
	BurstEach int
	Silence   time.Duration         // After which callers doubt a connection; the client's default if 0.
	Adjust    func(set *object.Set) // Changes the example before it is published, if set.
	Forward   bool                  // Put a forwarder before each caller, peer and engine address.
}

// VM is one entry VM's process.
type VM struct {
	ID            string
	FailureDomain string
	Caller        string
	Peer          string
	Operator      string
	CallerPath    *forward.Forwarder // Nil without Options.Forward.
	PeerPath      *forward.Forwarder
	platformPath  *forward.Forwarder
	process       *process
	gone          bool
}

// Engine is one engine's process.
type Engine struct {
	Server  object.BackendServer
	Path    *forward.Forwarder // Nil without Options.Forward.
	listen  string             // The engine's own address.
	process *process
	dead    bool
	last    enginefake.Stats // Of processes that were killed.
	flags   []string
}

// System is everything that was started. It is not safe for concurrent use: a
// script that adds VMs on a goroutine of its own reads what it needs before.
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
	if err = s.Publish(0); err != nil {
		return errors.Trace(err)
	}
	for _, vm := range s.VMs {
		if err = s.Ready(ctx, vm); err != nil {
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
	if s.Options.Adjust != nil {
		s.Options.Adjust(&s.Set)
	}
	return nil
}

func (s *System) program(name string) string {
	return filepath.Join(s.Options.Bin, name)
}

func (s *System) startPlatform(ctx context.Context) (err error) {
	var addresses []string
	if addresses, err = loopback.Addresses(1); err != nil {
		return errors.Trace(err)
	}
	s.Platform = "http://" + addresses[0]
	if s.platform, err = start(s.Options.Logs, "platform", 0, s.program("endivespoke-lab"), "platform", "--listen", addresses[0]); err != nil {
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
	if addresses, err = loopback.Addresses(1); err != nil {
		return errors.Trace(err)
	}
	engine := &Engine{listen: addresses[0]}
	server.Address = addresses[0]
	if s.Options.Forward {
		if engine.Path, err = forward.New(engine.listen); err != nil {
			return errors.Trace(err)
		}
		server.Address = engine.Path.Address()
	}
	engine.Server = *server
	engine.flags = []string{
		"engine",
		"--listen", engine.listen,
		"--token-gap", s.Options.TokenGap.String(),
		"--prefill", s.Options.Prefill.String(),
		"--slots", fmt.Sprint(server.MaxConcurrent),
		"--burst-every", fmt.Sprint(s.Options.BurstEach),
		"--burst-gap", s.Options.BurstGap.String(),
	}
	s.Engines = append(s.Engines, engine)
	return errors.Trace(s.run(ctx, engine))
}

func (s *System) run(ctx context.Context, engine *Engine) (err error) {
	if engine.process, err = start(s.Options.Logs, engine.Server.Name, 1, s.program("endivespoke-lab"), engine.flags...); err != nil {
		return errors.Trace(err)
	}
	engine.dead = false
	return errors.Trace(waitFor(ctx, "http://"+engine.listen+"/load"))
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
	if p, err = start(s.Options.Logs, server.Name, 0, s.program("endivespoke-lab"), "service", "--listen", server.Address); err != nil {
		return errors.Trace(err)
	}
	s.services = append(s.services, p)
	return errors.Trace(waitFor(ctx, url+"/executions"))
}

// startVMs starts the VMs, spread over the example's failure domains, and tells
// the platform of them.
func (s *System) startVMs(ctx context.Context) (err error) {
	domains := s.domains()
	for i := range s.Options.VMs {
		if _, err = s.StartVM(ctx, fmt.Sprintf("vm-%d", i+1), domains[i%len(domains)]); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(s.ListVMs())
}

// domains gives the failure domains of the example, in order.
func (s *System) domains() []string {
	domains := []string{}
	for _, server := range s.Set.BackendServers {
		if !slices.Contains(domains, server.FailureDomain) {
			domains = append(domains, server.FailureDomain)
		}
	}
	return domains
}

// ListVMs tells the platform of the VMs that are not gone.
func (s *System) ListVMs() error {
	listed := []vmlist.VM{}
	for _, vm := range s.VMs {
		if !vm.gone {
			listed = append(listed, vmlist.VM{ID: vm.ID, FailureDomain: vm.FailureDomain, CallerAddress: vm.Caller, PeerAddress: vm.Peer, State: vmlist.StateLive})
		}
	}
	body, err := json.Marshal(listed)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(put(s.Platform+"/vms", body, nil))
}

// StartVM starts one more VM. The platform's list has it after ListVMs.
func (s *System) StartVM(ctx context.Context, id, domain string) (vm *VM, err error) {
	var addresses []string
	if addresses, err = loopback.Addresses(3); err != nil {
		return nil, errors.Trace(err)
	}
	vm = &VM{ID: id, FailureDomain: domain, Caller: addresses[0], Peer: addresses[1], Operator: addresses[2]}
	if err = s.forwardVM(vm); err != nil {
		return nil, errors.Trace(err)
	}
	flags := append([]string{
		"serve",
		"--id", id,
		"--failure-domain", domain,
		"--caller-listen", addresses[0],
		"--caller-address", vm.Caller,
		"--peer-listen", addresses[1],
		"--peer-address", vm.Peer,
		"--operator-listen", addresses[2],
		"--platform", s.platformFor(vm),
		"--peer-key", peerKey,
		"--bootstrap-hash", object.HashToken(operatorToken),
	}, s.Options.VMFlags...)
	if vm.process, err = start(s.Options.Logs, id, s.Options.VMCores, s.program("endivespoke"), flags...); err != nil {
		return nil, errors.Trace(err)
	}
	s.VMs = append(s.VMs, vm)
	return vm, errors.Trace(waitFor(ctx, "http://"+vm.Operator+"/healthz"))
}

func (s *System) forwardVM(vm *VM) (err error) {
	if !s.Options.Forward {
		return nil
	}
	if vm.CallerPath, err = forward.New(vm.Caller); err != nil {
		return errors.Trace(err)
	}
	if vm.PeerPath, err = forward.New(vm.Peer); err != nil {
		return errors.Trace(err)
	}
	if vm.platformPath, err = forward.New(strings.TrimPrefix(s.Platform, "http://")); err != nil {
		return errors.Trace(err)
	}
	vm.Caller = vm.CallerPath.Address()
	vm.Peer = vm.PeerPath.Address()
	return nil
}

// platformFor gives the platform's URL as a VM is told it.
func (s *System) platformFor(vm *VM) string {
	if vm.platformPath == nil {
		return s.Platform
	}
	return "http://" + vm.platformPath.Address()
}

// PlatformPath is the way of one VM to the platform.
func (s *System) PlatformPath(vm *VM) *forward.Forwarder {
	return vm.platformPath
}

// Ready waits until a VM takes requests.
func (s *System) Ready(ctx context.Context, vm *VM) error {
	return errors.Trace(waitFor(ctx, "http://"+vm.Operator+"/readyz"))
}

// Accounts gives callers for the example's first client accounts.
func (s *System) Accounts(count int) []load.Account {
	entries := []string{}
	for _, vm := range s.VMs {
		entries = append(entries, "http://"+vm.Caller)
	}
	accounts := []load.Account{}
	for _, account := range s.Set.ClientAccounts[:min(count, len(s.Set.ClientAccounts))] {
		c := client.New(client.Options{Entries: entries, Token: account.Name + "-example", IdleTimeout: s.Options.Silence})
		accounts = append(accounts, load.Account{Name: account.Name, Client: c})
	}
	return accounts
}

// Load gives the options of a load on this system, without its size.
func (s *System) Load(accounts int) load.Options {
	return load.Options{
		Clients:     s.Accounts(accounts),
		Model:       s.Set.Models[0].Name,
		EngineModel: s.Set.Versions[0].EngineModel,
	}
}

// Stop ends everything that was started.
func (s *System) Stop() {
	for _, vm := range s.VMs {
		vm.process.kill()
		closePath(vm.CallerPath)
		closePath(vm.PeerPath)
		closePath(vm.platformPath)
	}
	for _, engine := range s.Engines {
		if engine.process != nil {
			engine.process.kill()
		}
		closePath(engine.Path)
	}
	for _, service := range s.services {
		service.stop()
	}
	if s.platform != nil {
		s.platform.stop()
	}
}

func closePath(path *forward.Forwarder) {
	if path != nil {
		path.Close()
	}
}

// Publish replaces a revision by the system's set.
func (s *System) Publish(base uint64) error {
	header := map[string]string{"Authorization": "Bearer " + operatorToken}
	if base > 0 {
		header["If-Match"] = fmt.Sprintf("%q", fmt.Sprint(base))
	}
	return errors.Trace(put("http://"+s.VMs[0].Operator+"/v1/admin/configuration", object.Encode(s.Set), header))
}

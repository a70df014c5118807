package vm_test

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/lab/servicefake"
	"github.com/endivespoke/endivespoke/internal/node/settings"
	"github.com/endivespoke/endivespoke/internal/node/vm"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
	"github.com/endivespoke/endivespoke/internal/request/action"
)

const peerKey = "dGVzdC10ZXN0LXRlc3QtdGVzdC10ZXN0LXRlc3QtdGVzdA=="

// rig is a small system inside the test's process: fakes of the platform, an engine and
// services, and a few VMs.
type rig struct {
	t        *testing.T
	platform *platformfake.Platform
	engine   *enginefake.Engine
	service  *servicefake.Service
	keyed    *servicefake.Service // Honours idempotency keys.
	set      object.Set
	listed   []vmlist.VM
	pool     *x509.CertPool // Set when the VMs use TLS.
	vms      []*vm.VM
	stops    []context.CancelFunc // Of the VMs.
}

// options configures a rig. faultPoint is called before each step of an action, with
// the number of the VM.
type options struct {
	vms      int
	unlisted bool // The platform's VM list stays empty until the test sets it.
	grace    string
	trace    string
	engine   enginefake.Options

	certificate string // Files for TLS, with the pool that trusts them.
	key         string
	pool        *x509.CertPool

	drainLimit string

	configure  func(r *rig) // Changes the configuration before it is published.
	faultPoint func(number int, op action.Op)
}

func newRig(t *testing.T, o options) *rig {
	r := &rig{t: t, platform: platformfake.New(), engine: enginefake.New(o.engine), service: servicefake.New(), keyed: servicefake.New(), pool: o.pool}
	r.keyed.HonourKeys = true
	platform := r.serve(r.platform)
	r.set = r.configuration()
	if o.configure != nil {
		o.configure(r)
	}
	listed := []vmlist.VM{}
	for i := range o.vms {
		machine := r.newVM(o, i, "http://"+platform)
		listed = append(listed, vmlist.VM{ID: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("domain-", i%2), CallerAddress: machine.CallerAddress(), PeerAddress: machine.PeerAddress(), State: vmlist.StateLive})
	}
	r.listed = listed
	if !o.unlisted {
		r.platform.SetVMs(listed)
	}
	for _, machine := range r.vms {
		r.run(machine)
	}
	reply := r.send(r.operator(0, "PUT", "/v1/admin/configuration", string(object.Encode(r.set))))
	qt.Assert(t, reply.status, qt.Equals, http.StatusOK, qt.Commentf("%s", reply.body))
	for i := range r.vms {
		r.eventually("the configuration is in force", func() bool { return r.vms[i].Snapshot().Accepting(time.Now()) })
	}
	return r
}

func (r *rig) serve(handler http.Handler) (address string) {
	server := httptest.NewServer(handler)
	r.t.Cleanup(server.CloseClientConnections)
	r.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (r *rig) configuration() object.Set {
	account := func(name string) object.ClientAccount {
		return object.ClientAccount{Name: name, TokenHashes: []string{object.HashToken(name + "-token")}, Priorities: []string{"long", "lookup"}, Models: []string{"m"}, Services: []string{"booking", "claims"}, Weight: 1, RequestsPerSecond: 1000, ConcurrentRequests: 1000}
	}
	restricted := account("restricted")
	restricted.Models = []string{}
	restricted.Services = []string{}
	return object.Set{
		Models:         []object.Model{{Name: "m", Version: "m-1"}},
		Versions:       []object.Version{{Name: "m-1", Model: "m", EngineModel: "engine-m"}},
		Priorities:     []object.Priority{{Name: "long", Rank: 5}, {Name: "lookup", Rank: 0, Lookup: true}},
		ClientAccounts: []object.ClientAccount{account("a"), account("b"), restricted},
		Operators:      []object.Operator{{Name: "op", TokenHashes: []string{object.HashToken("op-token")}}},
		Services: []object.Service{
			{Name: "booking", Operations: []object.Operation{{Method: "POST", Path: "/bookings"}, {Method: "GET", Path: "/calendar", Idempotent: true}}},
			{Name: "claims", Operations: []object.Operation{{Method: "POST", Path: "/claims", HonoursIdempotencyKey: true}}},
		},
		BackendServers: []object.BackendServer{
			{Name: "e1", Address: r.serve(r.engine), FailureDomain: "d", Versions: []string{"m-1"}, MaxConcurrent: 64},
			{Name: "s1", Address: r.serve(r.service), FailureDomain: "d", Service: "booking", MaxConcurrent: 64},
			{Name: "s2", Address: r.serve(r.keyed), FailureDomain: "d", Service: "claims", MaxConcurrent: 64},
		},
	}
}

func (r *rig) newVM(o options, number int, platform string) *vm.VM {
	grace := o.grace
	if grace == "" {
		grace = "30s"
	}
	drainLimit := o.drainLimit
	if drainLimit == "" {
		drainLimit = "10s"
	}
	checked, faults := settings.Serve{
		ID:               fmt.Sprint("vm-", number),
		FailureDomain:    fmt.Sprint("domain-", number%2),
		CallerListen:     "127.0.0.1:0",
		PeerListen:       "127.0.0.1:0",
		OperatorListen:   "127.0.0.1:0",
		Platform:         platform,
		PeerKey:          peerKey,
		BootstrapHash:    object.HashToken("op-token"),
		Grace:            grace,
		LeaveWait:        "0s",
		DrainLimit:       drainLimit,
		LogLevel:         "info",
		BaselineRecovery: "none",
		TraceEndpoint:    o.trace,
		TLSCertificate:   o.certificate,
		TLSKey:           o.key,
	}.Check()
	qt.Assert(r.t, faults, qt.HasLen, 0)
	machine, err := vm.New(checked, hclog.New(&hclog.LoggerOptions{Output: io.Discard}))
	qt.Assert(r.t, err, qt.IsNil)
	if o.faultPoint != nil {
		machine.FaultPoint = func(op action.Op) { o.faultPoint(number, op) }
	}
	r.vms = append(r.vms, machine)
	return machine
}

func (r *rig) run(machine *vm.VM) {
	ctx, cancel := context.WithCancel(context.Background())
	r.stops = append(r.stops, cancel)
	ended := make(chan error, 1)
	go func() { ended <- machine.Serve(ctx) }()
	r.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// eventually waits until a condition holds, for at most 20 s.
func (r *rig) eventually(what string, holds func() bool) {
	r.t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("never: %s", what)
}

// reply is a complete HTTP response.
type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) code() string {
	return codeOf(r.body)
}

// codeOf returns the code and outcome of a problem document, also of one within an event.
func codeOf(body string) string {
	type document struct {
		Code    string
		Outcome string
	}
	var found struct {
		document
		Error document
	}
	if err := json.Unmarshal([]byte(body), &found); err != nil {
		return ""
	}
	if found.Code == "" {
		found.document = found.Error
	}
	if found.Code == "" {
		return ""
	}
	return found.Code + "/" + found.Outcome
}

func (r *rig) request(address, token, method, path, body string) *http.Request {
	scheme := "http://"
	if r.pool != nil {
		scheme = "https://"
	}
	request, err := http.NewRequest(method, scheme+address+path, bytes.NewReader([]byte(body)))
	qt.Assert(r.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+token)
	return request
}

func (r *rig) caller(number int, account, method, path, body string) *http.Request {
	return r.request(r.vms[number].CallerAddress(), account+"-token", method, path, body)
}

func (r *rig) operator(number int, method, path, body string) *http.Request {
	return r.request(r.vms[number].OperatorAddress(), "op-token", method, path, body)
}

func (r *rig) send(request *http.Request) reply {
	response, err := r.transport().RoundTrip(request)
	if err != nil {
		return reply{body: err.Error()}
	}
	return readReply(response)
}

func readReply(response *http.Response) reply {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{status: response.StatusCode, body: err.Error()}
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(body)}
}

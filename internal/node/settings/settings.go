// Package settings defines the start parameters of a VM, given as flags or environment
// variables, and validates all of them together.
//
// # Usage
//
//	var cli struct { Serve settings.Serve `cmd:""` } // parsed by kong
//	checked, faults := cli.Serve.Check()
//	for _, fault := range faults { fmt.Println(fault) } // all faults, not only the first
package settings

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"time"
)

// Serve is the command line of one VM. All values are strings, so that all invalid values
// are reported at once, each with its flag and variable.
type Serve struct {
	ID               string `help:"Name of this VM, unique in the system." env:"ENDIVESPOKE_ID" required:""`
	FailureDomain    string `help:"Failure domain that this VM is in." env:"ENDIVESPOKE_FAILURE_DOMAIN" required:""`
	CallerListen     string `help:"IP:PORT for callers." env:"ENDIVESPOKE_CALLER_LISTEN" default:"127.0.0.1:8080"`
	CallerAddress    string `help:"IP:PORT announced to callers; the listening address if empty." env:"ENDIVESPOKE_CALLER_ADDRESS"`
	PeerListen       string `help:"IP:PORT for other VMs." env:"ENDIVESPOKE_PEER_LISTEN" default:"127.0.0.1:8081"`
	PeerAddress      string `help:"IP:PORT announced to other VMs; the listening address if empty." env:"ENDIVESPOKE_PEER_ADDRESS"`
	OperatorListen   string `help:"IP:PORT for operators, metrics and health." env:"ENDIVESPOKE_OPERATOR_LISTEN" default:"127.0.0.1:8082"`
	Platform         string `help:"Base URL of the platform's table, object store and VM list." env:"ENDIVESPOKE_PLATFORM" required:""`
	PeerKey          string `help:"Shared key of all VMs, 32 or more bytes in base64. Also seals cursors." env:"ENDIVESPOKE_PEER_KEY" required:""`
	BootstrapHash    string `help:"SHA-256 (hex) of the token that may publish the first configuration." env:"ENDIVESPOKE_BOOTSTRAP_HASH"`
	Grace            string `help:"How long a generation continues without its caller." env:"ENDIVESPOKE_GRACE" default:"30s"`
	LeaveWait        string `help:"How long a stopping VM still accepts requests, for callers with an old locate answer." env:"ENDIVESPOKE_LEAVE_WAIT" default:"12s"`
	DrainLimit       string `help:"How long a stopping VM waits for running requests." env:"ENDIVESPOKE_DRAIN_LIMIT" default:"15m"`
	TLSCertificate   string `help:"PEM file with the certificate for callers and operators." env:"ENDIVESPOKE_TLS_CERTIFICATE"`
	TLSKey           string `help:"PEM file with its key." env:"ENDIVESPOKE_TLS_KEY"`
	MemoryMB         string `help:"Memory of this VM in MB, for the limits of what callers hold. If empty, 1024 and no limit of its own use." env:"ENDIVESPOKE_MEMORY_MB"`
	MaxDescriptors   string `help:"Limit of this VM's open files, 200 of which are left for files; none if empty." env:"ENDIVESPOKE_MAX_DESCRIPTORS"`
	LogLevel         string `help:"One of trace, debug, info, warn, error." env:"ENDIVESPOKE_LOG_LEVEL" default:"info"`
	LogJSON          bool   `help:"Log in JSON." env:"ENDIVESPOKE_LOG_JSON"`
	TraceEndpoint    string `help:"URL of an OTLP/HTTP collector. Empty disables tracing." env:"ENDIVESPOKE_TRACE_ENDPOINT"`
	Pprof            bool   `help:"Serve /debug/pprof/ to operators." env:"ENDIVESPOKE_PPROF"`
	AdaptiveSilence  bool   `help:"Derive the idle timeout of a stream from its own gaps." env:"ENDIVESPOKE_ADAPTIVE_SILENCE"`
	BaselineRecovery string `help:"For benchmarks: one of none, restart, timer." env:"ENDIVESPOKE_BASELINE_RECOVERY" default:"none" hidden:""`
}

// Checked is a validated Serve, with the parsed values.
type Checked struct {
	Serve
	Key        []byte
	Grace      time.Duration
	LeaveWait  time.Duration
	DrainLimit time.Duration

	MemoryBytes    int64 // 0 if it is not set.
	MaxDescriptors int   // 0 if there is no limit.
}

// minMemoryMB and minDescriptors are what a VM needs.
const (
	minMemoryMB    = 64
	minDescriptors = 300
)

// Fault is one invalid value.
type Fault struct {
	Flag     string
	Variable string
	Value    string
	Allowed  string
}

func (f Fault) String() string {
	return fmt.Sprintf("--%s (%s): %q is not allowed: %s", f.Flag, f.Variable, f.Value, f.Allowed)
}

var (
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	levels      = regexp.MustCompile(`^(trace|debug|info|warn|error)$`)
	baselines   = regexp.MustCompile(`^(none|restart|timer)$`)
)

// minKeyBytes is the minimum length of the shared key.
const minKeyBytes = 32

type checker struct {
	faults []Fault
}

func (c *checker) add(flag, variable, value, allowed string) {
	c.faults = append(c.faults, Fault{Flag: flag, Variable: "ENDIVESPOKE_" + variable, Value: value, Allowed: allowed})
}

// Check returns the parsed values, and all faults.
func (s Serve) Check() (Checked, []Fault) {
	c := &checker{}
	checked := Checked{Serve: s}
	c.match("id", "ID", s.ID, idPattern, "1 to 63 letters, digits, '.', '_' or '-'")
	c.match("failure-domain", "FAILURE_DOMAIN", s.FailureDomain, idPattern, "1 to 63 letters, digits, '.', '_' or '-'")
	c.address("caller-listen", "CALLER_LISTEN", s.CallerListen)
	if s.CallerAddress != "" {
		c.address("caller-address", "CALLER_ADDRESS", s.CallerAddress)
	}
	c.address("peer-listen", "PEER_LISTEN", s.PeerListen)
	if s.PeerAddress != "" {
		c.address("peer-address", "PEER_ADDRESS", s.PeerAddress)
	}
	c.address("operator-listen", "OPERATOR_LISTEN", s.OperatorListen)
	c.url("platform", "PLATFORM", s.Platform)
	checked.Key = c.key(s.PeerKey)
	if s.BootstrapHash != "" {
		c.match("bootstrap-hash", "BOOTSTRAP_HASH", s.BootstrapHash, hashPattern, "a SHA-256 hash in lower-case hex")
	}
	checked.Grace = c.duration("grace", "GRACE", s.Grace)
	checked.LeaveWait = c.duration("leave-wait", "LEAVE_WAIT", s.LeaveWait)
	checked.DrainLimit = c.duration("drain-limit", "DRAIN_LIMIT", s.DrainLimit)
	checked.MemoryBytes = int64(c.number("memory-mb", "MEMORY_MB", s.MemoryMB, minMemoryMB)) << 20
	checked.MaxDescriptors = c.number("max-descriptors", "MAX_DESCRIPTORS", s.MaxDescriptors, minDescriptors)
	c.tls(s)
	c.match("log-level", "LOG_LEVEL", s.LogLevel, levels, "one of trace, debug, info, warn, error")
	c.match("baseline-recovery", "BASELINE_RECOVERY", s.BaselineRecovery, baselines, "one of none, restart, timer")
	if s.TraceEndpoint != "" {
		c.url("trace-endpoint", "TRACE_ENDPOINT", s.TraceEndpoint)
	}
	return checked, c.faults
}

func (c *checker) match(flag, variable, value string, pattern *regexp.Regexp, allowed string) {
	if !pattern.MatchString(value) {
		c.add(flag, variable, value, allowed)
	}
}

func (c *checker) address(flag, variable, value string) {
	host, _, err := net.SplitHostPort(value)
	if err == nil {
		_, err = netip.ParseAddr(host)
	}
	if err != nil {
		c.add(flag, variable, value, "an IP number and a port, as in 10.0.0.7:8080")
	}
}

func (c *checker) url(flag, variable, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.add(flag, variable, value, "an http or https URL, as in http://10.0.0.9:7000")
	}
}

// key decodes the shared key. Faults do not contain its value.
func (c *checker) key(value string) []byte {
	key, err := base64.StdEncoding.DecodeString(value)
	if err != nil || len(key) < minKeyBytes {
		c.add("peer-key", "PEER_KEY", "(hidden)", "32 or more bytes in base64")
		return nil
	}
	return key
}

func (c *checker) duration(flag, variable, value string) time.Duration {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 {
		c.add(flag, variable, value, "a time with its unit, as in 30s or 2m")
		return 0
	}
	return parsed
}

// number returns a number that may be left empty, 0 then.
func (c *checker) number(flag, variable, value string, least int) int {
	if value == "" {
		return 0
	}
	parsed, err := strconv.Atoi(value)
	if err != nil || parsed < least {
		c.add(flag, variable, value, fmt.Sprintf("a whole number from %d on, or empty", least))
		return 0
	}
	return parsed
}

func (c *checker) tls(s Serve) {
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		c.add("tls-certificate", "TLS_CERTIFICATE", s.TLSCertificate, "set together with --tls-key or not at all")
		return
	}
	if s.TLSCertificate == "" {
		return
	}
	c.file("tls-certificate", "TLS_CERTIFICATE", s.TLSCertificate)
	c.file("tls-key", "TLS_KEY", s.TLSKey)
}

func (c *checker) file(flag, variable, value string) {
	if _, err := os.Stat(value); err != nil {
		c.add(flag, variable, value, "a file that can be read: "+err.Error())
	}
}

package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Scenario is a load, the engines that serve it and the faults. Times are in seconds from
// the start, and in milliseconds in fields named so.
type Scenario struct {
	Name    string      `json:"name"`
	Seconds float64     `json:"seconds"`
	VMs     int         `json:"vms"`
	Engines EngineModel `json:"engines"`
	Load    Load        `json:"load"`
	Network Network     `json:"network"`
	Faults  []Fault     `json:"faults"`
}

// EngineModel describes the engines. They differ only in Speeds, which are factors of the
// step time and are assigned in turn: with speeds of 1, 1 and 1.3, every third engine takes
// 1.3 times as long for a step.
type EngineModel struct {
	FailureDomains   []string  `json:"failureDomains"`
	PerFailureDomain int       `json:"perFailureDomain"`
	Slots            int       `json:"slots"`
	MemoryTokens     int       `json:"memoryTokens"`
	Speeds           []float64 `json:"speeds"`
	StepMillis       float64   `json:"stepMillis"`
	// PerRunMillis is added to a step for each running stream, and PerThousandMillis for
	// each thousand tokens of their contexts.
	PerRunMillis         float64 `json:"perRunMillis"`
	PerThousandMillis    float64 `json:"perThousandMillis"`
	PromptTokensPerMilli float64 `json:"promptTokensPerMilli"`
	ChunkTokens          int     `json:"chunkTokens"`
	FirstEventMillis     float64 `json:"firstEventMillis"`
	TokensPerEvent       int     `json:"tokensPerEvent"`
	// CopyMillis is the time from a stream's first event until its copy can be used,
	// MoveMillis the time to move a run or to resume from a copy.
	CopyMillis float64 `json:"copyMillis"`
	MoveMillis float64 `json:"moveMillis"`
}

// Load describes the streams. Prompt and output lengths are uniformly distributed; the
// spreads are fractions of the means.
type Load struct {
	StreamsPerSecond float64 `json:"streamsPerSecond"`
	PromptTokens     int     `json:"promptTokens"`
	PromptSpread     float64 `json:"promptSpread"`
	Events           int     `json:"events"`
	EventsSpread     float64 `json:"eventsSpread"`
	// A stream is on time if its first event comes within FirstEventAimMillis and no pause
	// is longer than GapAimMillis. A stream that isn't on time but is complete within the
	// deadline is worth LateWorth.
	FirstEventAimMillis float64 `json:"firstEventAimMillis"`
	GapAimMillis        float64 `json:"gapAimMillis"`
	DeadlineMillis      float64 `json:"deadlineMillis"`
	LateWorth           float64 `json:"lateWorth"`
	Attempts            int     `json:"attempts"`
}

// Network describes the delays between processes.
type Network struct {
	HopMillis float64 `json:"hopMillis"`
	// ListMillis is the time from an engine's start until the VMs' lists have it.
	ListMillis float64 `json:"listMillis"`
}

// Fault kinds.
const (
	FaultCrash   = "crash"   // Connections break, and new ones are refused.
	FaultHang    = "silence" // Connections stay open, but nothing more arrives.
	FaultLeaving = "leaving" // Listed as leaving; running streams end.
	FaultEnd     = "end"     // All VMs stop.
)

// Fault affects a share of the engines, or those of one failure domain. They are replaced
// by new engines after ForSeconds, if that is set.
type Fault struct {
	AtSeconds     float64 `json:"atSeconds"`
	Kind          string  `json:"kind"`
	Share         float64 `json:"share"`
	FailureDomain string  `json:"failureDomain"`
	ForSeconds    float64 `json:"forSeconds"`
}

func (s *Scenario) length() time.Duration {
	return seconds(s.Seconds)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// ReadScenario reads a scenario and reports all its errors at once.
func ReadScenario(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the scenario")
	}
	scenario := &Scenario{}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(scenario); err != nil {
		return nil, errors.Annotatef(err, "reading the scenario %s", path)
	}
	if problems := scenario.check(); len(problems) > 0 {
		return nil, errors.Errorf("scenario %s: %s", path, strings.Join(problems, "; "))
	}
	return scenario, nil
}

// check returns the errors in a scenario.
func (s *Scenario) check() (problems []string) {
	positive := []struct {
		field string
		value float64
	}{
		{"seconds", s.Seconds},
		{"vms", float64(s.VMs)},
		{"engines.perFailureDomain", float64(s.Engines.PerFailureDomain)},
		{"engines.slots", float64(s.Engines.Slots)},
		{"engines.memoryTokens", float64(s.Engines.MemoryTokens)},
		{"engines.stepMillis", s.Engines.StepMillis},
		{"engines.promptTokensPerMilli", s.Engines.PromptTokensPerMilli},
		{"engines.chunkTokens", float64(s.Engines.ChunkTokens)},
		{"engines.tokensPerEvent", float64(s.Engines.TokensPerEvent)},
		{"load.streamsPerSecond", s.Load.StreamsPerSecond},
		{"load.promptTokens", float64(s.Load.PromptTokens)},
		{"load.events", float64(s.Load.Events)},
		{"load.firstEventAimMillis", s.Load.FirstEventAimMillis},
		{"load.gapAimMillis", s.Load.GapAimMillis},
		{"load.deadlineMillis", s.Load.DeadlineMillis},
		{"load.attempts", float64(s.Load.Attempts)},
	}
	for _, number := range positive {
		if number.value <= 0 {
			problems = append(problems, number.field+": a number above 0 is needed")
		}
	}
	if len(s.Engines.FailureDomains) == 0 {
		problems = append(problems, "engines.failureDomains: at least one is needed")
	}
	if len(s.Engines.Speeds) == 0 {
		problems = append(problems, "engines.speeds: at least one is needed")
	}
	for i, fault := range s.Faults {
		if !isFaultKind(fault.Kind) {
			problems = append(problems, fmt.Sprintf("faults[%d].kind: %q is none of crash, silence, leaving, end", i, fault.Kind))
		}
	}
	return problems
}

func isFaultKind(kind string) bool {
	return kind == FaultCrash || kind == FaultHang || kind == FaultLeaving || kind == FaultEnd
}

// idleDuration returns how long a stream takes on an idle engine with the first speed. It is
// the lower bound for all policies.
func (s *Scenario) idleDuration(promptTokens, events int) time.Duration {
	e := s.Engines
	prompt := float64(promptTokens)/e.PromptTokensPerMilli + e.FirstEventMillis
	context := e.PerThousandMillis * float64(promptTokens) / 1000
	steps := float64(events*e.TokensPerEvent) * (e.StepMillis + e.PerRunMillis + context)
	return millis(e.Speeds[0]*(prompt+steps) + 2*s.Network.HopMillis)
}

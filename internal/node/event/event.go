// Package event defines every numbered log event of the product. The catalogue
// in docs/EVENTS.md explains each to operators; a test compares the two.
//
// # Usage
//
//	event.VMStarted.Info(logger, "vm", id)
//
// A number is never reused, even after its event has been removed.
package event

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

// Event is one kind of log entry.
type Event struct {
	Number int
	Text   string
	count  *metrics.Counter // Occurrences in this process, whether logged or dropped.
}

// The events, grouped by the hundreds of their numbers: 1 process, 2 configuration,
// 3 membership, 4 generations, 5 actions, 6 backend servers, 7 relayed requests,
// 8 the platform, 9 roll-outs.
var (
	VMStarted            = define(101, "VM is serving")
	VMStopping           = define(102, "VM is leaving: it finishes what it runs")
	VMStopped            = define(103, "VM has stopped")
	ServiceRestarted     = define(104, "a part of the process failed and is restarted")
	PartFailed           = define(105, "one piece of work failed unexpectedly and was given up")
	HangupIgnored        = define(106, "SIGHUP came: settings of this interface hold until the next start")
	ConfigInForce        = define(201, "configuration is in force")
	ConfigOutdated       = define(202, "configuration may be outdated: new requests are refused")
	ConfigCurrent        = define(203, "configuration is known to be current again")
	ConfigUnreadable     = define(204, "a published configuration could not be read")
	ConfigPublished      = define(205, "an operator published a configuration")
	ListUnreadable       = define(301, "the platform's VM list could not be read")
	PeerDown             = define(302, "a VM does not answer")
	PeerBack             = define(303, "a VM answers again")
	CellChanged          = define(304, "this VM shares its work with another part of the fleet")
	FetchFailed          = define(305, "a VM did not send the newer configuration or server list that it has")
	StreamLost           = define(401, "an engine stream was lost")
	GenerationContinued  = define(402, "a generation goes on after a loss")
	GenerationFailed     = define(403, "a generation was given up")
	GenerationTakenOver  = define(404, "a generation was taken over from another VM")
	GenerationMoved      = define(405, "another VM owns a generation now")
	GenerationCancelled  = define(406, "a generation was cancelled because its caller is gone")
	HolderChanged        = define(407, "the copy of a generation moved to another VM")
	ContentCondemned     = define(408, "a request that crashes engines is refused from now on")
	GenerationRegenerate = define(409, "a generation is made again because no copy was found")
	ActionUnknown        = define(501, "the end of an action is not known")
	ServerEjected        = define(601, "a backend server gets no work for a while")
	ServerReturned       = define(602, "a backend server gets work again")
	OrderGiven           = define(603, "an order was carried out by a backend server")
	OrderFailed          = define(604, "a backend server could not be brought to its published state yet")
	ServersChanged       = define(605, "the list of backend servers changed")
	ServerDown           = define(606, "a backend server accepts no connections")
	ServerUp             = define(607, "a backend server accepts connections again")
	SuccessorFound       = define(608, "a restarted backend server was found under a new id")
	ServerSaidLeaving    = define(609, "a backend server said in an answer that it is leaving")
	ServerLimitNamed     = define(610, "a backend server named a limit on the requests of all VMs")
	ServerLimitEnded     = define(611, "a backend server names no limit any more")
	LimitedSent          = define(612, "requests were sent to a backend server with a limit")
	ServersUnreachable   = define(613, "this VM reaches no backend server: it sends requests through other VMs")
	ServersReachable     = define(614, "this VM reaches backend servers again")
	ServersBrittle       = define(615, "backend servers say that they fall over if they have to turn away many requests")
	RequestEnded         = define(701, "a request ended")
	RunEnded             = define(702, "a run at a backend server ended early")
	StreamResumed        = define(703, "a stream goes on at another backend server")
	SecondServerAsked    = define(704, "a second backend server was asked")
	StreamPlaced         = define(705, "a stream was sent to a backend server")
	StreamNotMoved       = define(706, "a stream without a copy could not be moved")
	CopyRenewed          = define(707, "a stream that lost its copy has another")
	CopyNotRenewed       = define(708, "a stream without a copy got none yet")
	RunCut               = define(709, "a run was cut by its server or its connection")
	ContentRefused       = define(710, "requests that crash servers are refused from now on")
	EndHeldAgainst       = define(711, "a server's end is held against the requests that ran there")
	EndsCleared          = define(712, "ends of servers are no longer held against requests")
	TraitSuspected       = define(713, "one of several things that requests share crashes servers")
	TraitTried           = define(714, "one request that may crash servers is sent to find out")
	EqualStreams         = define(715, "streams of equal requests run: none goes on from a copy at another VM")
	StreamsWait          = define(716, "new streams wait or are refused since no backend server has headroom")
	RequestResent        = define(717, "a plain request is sent to another backend server")
	StreamReturned       = define(718, "a caller returned to its stream")
	ConnectionsClosed    = define(720, "callers' connections were closed to bound memory, descriptors or time")
	PortBounded          = define(721, "a port takes a bounded number of connections")
	StoreLost            = define(801, "the platform's store does not answer")
	StoreRegained        = define(802, "the platform's store answers again")
	SettingsReloaded     = define(803, "settings were read again")
	SettingsRefused      = define(804, "new settings are wrong: the old ones stay in force")
	LogDropped           = define(805, "log lines were dropped")
	CopiesUnread         = define(806, "where copies of streams are could not be read from the store")
	ReadinessChanged     = define(807, "this VM takes requests, or takes none any more")
	StoreRestored        = define(808, "the platform's store came back from an older copy")
	StoreRowRewritten    = define(809, "a row was written again to the platform's store")
	StoreEraOutdated     = define(810, "an answer of the platform's store was of an older copy")
	RolloutOrdered       = define(901, "an operator ordered a roll-out")
	RolloutOrderRefused  = define(902, "the order of a roll-out can't be read")
	RolloutWithdrawn     = define(903, "the order of a roll-out does not hold any more")
	RolloutStageEntered  = define(904, "a roll-out entered a stage")
	RolloutCompleted     = define(905, "a roll-out is completed")
	RolloutRolledBack    = define(906, "a roll-out was rolled back")
	RolloutCoordinated   = define(907, "this VM coordinates a roll-out")
	RolloutNotWritten    = define(908, "the state of a roll-out was not written")
	RolloutSuspended     = define(909, "requests to a new version are suspended")
	RolloutStateUnread   = define(910, "the stored state of a roll-out can't be read")
)

var all []Event

// counters holds the counters of all events.
var counters = metrics.NewSet()

func define(number int, text string) Event {
	event := Event{Number: number, Text: text, count: counters.NewCounter(fmt.Sprintf(`endivespoke_events_total{event="%d"}`, number))}
	all = append(all, event)
	return event
}

// All returns all events in the order of their numbers.
func All() []Event {
	return all
}

// Info logs the event with key-value pairs at level info.
func (e Event) Info(logger hclog.Logger, pairs ...any) {
	logger.Info(e.Text, e.numbered(pairs)...)
}

// Warn logs the event at level warn, for events that an operator may have to examine.
func (e Event) Warn(logger hclog.Logger, pairs ...any) {
	logger.Warn(e.Text, e.numbered(pairs)...)
}

// WriteMetrics writes the counters of all events in the Prometheus text format.
func WriteMetrics(w io.Writer) {
	counters.WritePrometheus(w)
}

func (e Event) numbered(pairs []any) []any {
	e.count.Inc()
	return append([]any{"event", e.Number}, pairs...)
}

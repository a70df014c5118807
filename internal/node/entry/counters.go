package entry

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/accept"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// counters are the VM's own metrics.
type counters struct {
	set         *metrics.Set
	connections *metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{set: set, connections: set.NewCounter("endivespoke_server_connections_opened_total")}
}

func (c *counters) ended(request *relay.Request, outcome string, took time.Duration) {
	kind := "none"
	if request != nil {
		kind = request.Route.Kind.String()
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`endivespoke_request_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

// refused counts denied requests and requests that were not run, by reason.
func (c *counters) refused(err error) {
	var notRun *relay.NotRun
	if errors.As(err, &notRun) {
		c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_not_run_total{reason=%q}`, notRun.Kind)).Inc()
	}
	if reason := deniedFor(err); reason != "" {
		c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_denied_total{reason=%q}`, reason)).Inc()
	}
}

// admitted counts a new stream that got a server with headroom.
func (c *counters) admitted(waited time.Duration, hasWaited bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_admission_admitted_total{waited="%t"}`, hasWaited)).Inc()
	if hasWaited {
		c.set.GetOrCreateHistogram("endivespoke_admission_wait_seconds").Update(waited.Seconds())
	}
}

// refusedHeadroom counts a new stream for which no server had headroom in time.
func (c *counters) refusedHeadroom(reason admission.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_admission_refused_total{reason=%q}`, reason)).Inc()
}

// deniedFor returns the name of the reason for which a request was denied, "" if it was not.
func deniedFor(err error) (reason string) {
	switch {
	case errors.Is(err, accept.ErrNoRoute):
		return "noRoute"
	case errors.Is(err, accept.ErrNoKey):
		return "noKey"
	case errors.Is(err, accept.ErrTooLarge):
		return "bodyTooLarge"
	case errors.Is(err, accept.ErrHeadTooLarge):
		return "headTooLarge"
	default:
		return ""
	}
}

// runEnded counts a run that ended early at its server.
func (c *counters) runEnded(how relay.EarlyEnd) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_runs_ended_early_total{how=%q}`, how)).Inc()
}

// closed counts connections that were closed for a reason.
func (c *counters) closed(port string, reason caller.Closure, count int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_connections_closed_total{port=%q,reason=%q}`, port, reason)).Add(count)
}

// sent counts a request that is sent to a server.
func (c *counters) sent(purpose pool.Purpose) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_server_requests_total{purpose=%q}`, purpose)).Inc()
}

// permit counts a request for a permit by its reply.
func (c *counters) permit(reply permit.Reply, err error) {
	result := "denied"
	switch {
	case err != nil:
		result = "noReply"
	case reply.Granted:
		result = "granted"
	case reply.Unbounded:
		result = "unbounded"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_permits_total{reply=%q}`, result)).Inc()
}

// rolloutResult counts the end of a send of a service with a roll-out.
func (c *counters) rolloutResult(result rollout.Result) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_rollout_sends_total{service=%q,version=%q,outcome=%q}`,
		result.Service, result.Version, outcomeNames[result.Outcome])).Inc()
}

// outcomeNames are the outcomes of sends as metrics name them.
var outcomeNames = map[rollout.Outcome]string{
	rollout.NoEvidence: "noEvidence",
	rollout.Answered:   "answered",
	rollout.Failed:     "failed",
	rollout.Abandoned:  "abandoned",
}

// rolloutCredit counts a request for a credit by its reply.
func (c *counters) rolloutCredit(service string, reply rollout.CreditReply, err error) {
	result := "denied"
	switch {
	case err != nil:
		result = "noReply"
	case reply.Suspended:
		result = "suspended"
	case reply.Granted:
		result = "granted"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_rollout_credits_total{service=%q,reply=%q}`, service, result)).Inc()
}

// tunnelled counts a connection of another VM to a server through this one.
func (c *counters) tunnelled() {
	c.set.GetOrCreateCounter("endivespoke_tunnels_opened_total").Inc()
}

// storeRestored counts a new era of the store.
func (c *counters) storeRestored() {
	c.set.GetOrCreateCounter("endivespoke_store_restored_total").Inc()
}

// resumed records the pause of a stream that was resumed on another server.
func (c *counters) resumed(fromCopy bool, pause time.Duration) {
	from := "prompt"
	if fromCopy {
		from = "copy"
	}
	c.set.GetOrCreateHistogram(fmt.Sprintf(`endivespoke_stream_pause_seconds{from=%q}`, from)).Update(pause.Seconds())
}

// serverDown counts a server that was found down, by the text of the operating system's error.
func (c *counters) serverDown(cause string) {
	how := "other"
	switch {
	case strings.Contains(cause, "refused"):
		how = "refused"
	case strings.Contains(cause, "timeout"):
		how = "timeout"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`endivespoke_servers_down_total{how=%q}`, how)).Inc()
}

func (c *counters) firstByte(kind routing.Kind, took time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`endivespoke_first_byte_seconds{kind=%q}`, kind.String())).Update(took.Seconds())
}

func boolGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// WriteMetrics writes all metrics in the Prometheus text format.
func (v *VM) WriteMetrics(w io.Writer) {
	snapshot := v.spread.Snapshot()
	now := v.Now()
	gauges := metrics.NewSet()
	gauge := func(name string, value float64) {
		gauges.NewGauge(name, func() float64 { return value })
	}
	gauge("endivespoke_configuration_age_seconds", now.Sub(snapshot.ConfigurationAt).Seconds())
	gauge("endivespoke_servers_age_seconds", now.Sub(snapshot.ServersAt).Seconds())
	gauge("endivespoke_servers_listed", float64(len(snapshot.Servers)))
	gauge("endivespoke_vms_live", float64(len(snapshot.Live)))
	gauge("endivespoke_peer_sent_bytes", float64(v.peers.SentBytes()))
	gauge("endivespoke_peer_heard_age_seconds", now.Sub(v.spread.LastPeerReplyAt()).Seconds())
	gauge("endivespoke_store_answers", boolGauge(!v.storeUnreachable.Load()))
	gauge("endivespoke_servers_reached", boolGauge(!v.reach.IsPartitioned()))
	gauge("endivespoke_ready", boolGauge(v.Ready()))
	gauge("endivespoke_requests_running", float64(v.running()))
	gauge("endivespoke_admission_waiting", float64(v.admitter.Len()))
	gauge("endivespoke_request_bodies_bytes", float64(v.bodies.Held()))
	gauge("endivespoke_request_heads_bytes", float64(v.ports.HeldByHeads()))
	gauge("endivespoke_caller_connections_idle", float64(v.callers.Idle()))
	for port, open := range v.ports.Open() {
		gauge(fmt.Sprintf("endivespoke_connections_open{port=%q}", port), float64(open))
	}
	if snapshot.Configuration != nil {
		gauge("endivespoke_configuration_version", float64(snapshot.Configuration.Version))
	}
	for _, state := range v.rollouts.follower.States() {
		gauge(fmt.Sprintf(`endivespoke_rollout_stage{service=%q,to=%q,stage=%q}`, state.Order.Service, state.Order.To, state.Stage), 1)
	}
	gauges.WritePrometheus(w)
	v.counters.set.WritePrometheus(w)
	event.WriteMetrics(w)
	metrics.WriteProcessMetrics(w)
}

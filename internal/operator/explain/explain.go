// Package explain builds the timeline of one request or of one roll-out from the logs of all VMs
// and determines the cause of its outcome.
//
// # Usage
//
//	found, err := explain.Read(logs, "9c41d07be2a35f68")
//	found.Print(os.Stdout)
//	rollout, err := explain.ReadRollout(logs, "booking")
//	rollout.Print(os.Stdout)
//
// Logs are the JSON lines of any number of VMs, in any order. Text before the first
// brace of a line is skipped, since log collectors may add a prefix.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/event"
)

// contextWindow is the time before and after a request in which other log lines of
// its VMs are included.
const contextWindow = 2 * time.Second

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one parsed line of a log.
type Line struct {
	At     time.Time
	VM     string
	Event  int
	Text   string
	Fields map[string]any
}

// Explanation is the timeline of a request and the cause of its outcome.
type Explanation struct {
	Request string
	Lines   []Line // Lines of the request.
	Context []Line // Lines of its VMs, servers and content that belong to no request.
	Cause   string
}

// Read collects the lines of a request. It is an error if there are none.
func Read(logs io.Reader, request string) (explanation Explanation, err error) {
	explanation.Request = request
	lines, err := readLines(logs, func(line Line) bool {
		return line.Fields["request"] == request || (line.Event != event.RequestEnded.Number && line.Fields["request"] == nil)
	})
	if err != nil {
		return explanation, err
	}
	others := []Line{}
	for _, line := range lines {
		if line.Fields["request"] == request {
			explanation.Lines = append(explanation.Lines, line)
		} else {
			others = append(others, line)
		}
	}
	if len(explanation.Lines) == 0 {
		return explanation, errors.NotFoundf("request %s in these logs", request)
	}
	sortByTime(explanation.Lines)
	explanation.Context = explanation.contextOf(others)
	explanation.Cause = explanation.cause()
	return explanation, nil
}

// readLines returns the lines of logs that are selected.
func readLines(logs io.Reader, isSelected func(line Line) bool) (lines []Line, err error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok && isSelected(line) {
			lines = append(lines, line)
		}
	}
	return lines, errors.Annotate(scanner.Err(), "reading the logs")
}

func parse(raw []byte) (line Line, ok bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false // The line is not a log line.
	}
	stamp, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return Line{}, false
	}
	line = Line{At: at, Fields: fields}
	line.VM, _ = fields["vm"].(string)
	line.Text, _ = fields["@message"].(string)
	if number, found := fields["event"].(float64); found {
		line.Event = int(number)
	}
	for _, known := range []string{"@timestamp", "@level", "@message", "@module", "vm", "event"} {
		delete(fields, known)
	}
	return line, true
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// contextOf selects the lines in which the request's VMs report on its servers, on the
// store and on themselves within contextWindow, and the lines on the request's content and the
// parts of its prompt of any VM at any time.
func (e *Explanation) contextOf(others []Line) []Line {
	vms, servers, traits := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range e.Lines {
		vms[line.VM] = true
		for _, trait := range line.traits() {
			traits[trait] = true
		}
		for _, server := range line.servers() {
			servers[server] = true
		}
	}
	from := e.arrivedAt().Add(-contextWindow)
	to := e.Lines[len(e.Lines)-1].At.Add(contextWindow)
	selected := []Line{}
	for _, line := range others {
		if of := line.traits(); len(of) > 0 {
			if traits[of[0]] {
				selected = append(selected, line)
			}
			continue
		}
		server, _ := line.Fields["server"].(string)
		relevant := servers[server] || (server == "" && line.Event != event.ServersChanged.Number)
		if vms[line.VM] && line.At.After(from) && line.At.Before(to) && relevant {
			selected = append(selected, line)
		}
	}
	sortByTime(selected)
	return selected
}

// arrivedAt returns when the request arrived at its VM: the time of its last line
// less the duration in that line.
func (e *Explanation) arrivedAt() time.Time {
	last := e.Lines[len(e.Lines)-1]
	millis, _ := last.Fields["millis"].(float64)
	return last.At.Add(-time.Duration(millis) * time.Millisecond)
}

func (l Line) servers() []string {
	names := []string{}
	for _, field := range []string{"server", "backup"} {
		if name, _ := l.Fields[field].(string); name != "" {
			names = append(names, name)
		}
	}
	listed, _ := l.Fields["servers"].([]any)
	for _, name := range listed {
		names = append(names, fmt.Sprint(name))
	}
	return names
}

// traits returns the content and the parts of prompts that a line names.
func (l Line) traits() (names []string) {
	for _, field := range []string{"content", "part"} {
		if name, _ := l.Fields[field].(string); name != "" {
			names = append(names, field+" "+name)
		}
	}
	parts, _ := l.Fields["parts"].([]any)
	for _, name := range parts {
		names = append(names, fmt.Sprint("part ", name))
	}
	return names
}

// cause describes why the request had its outcome.
func (e *Explanation) cause() string {
	end, found := e.last(event.RequestEnded)
	if !found {
		return "its VM has no line for its end: the VM was lost, or the request still runs"
	}
	outcome, _ := end.Fields["outcome"].(string)
	reason, _ := end.Fields["reason"].(string)
	switch outcome {
	case "answered":
		return e.answeredCause(end)
	case "notRun":
		return "refused, no server has run it: " + reason
	case "denied":
		return fmt.Sprintf("denied under version %v of the configuration, known to be current %v ms before: %s",
			end.Fields["configurationVersion"], end.Fields["configurationAgeMillis"], reason)
	case "unknown":
		return "a server may have run it, and gave no usable answer: " + e.lastRun(reason)
	case "timedOut":
		return "no answer before its time was up: " + e.lastRun(reason)
	default:
		return "ended as " + outcome + ": " + e.lastRun(reason)
	}
}

// answeredCause describes the failures and delays of a request that was answered.
func (e *Explanation) answeredCause(end Line) string {
	if status, _ := end.Fields["status"].(float64); status >= 500 {
		return fmt.Sprintf("the server's own failure was passed on, after %d servers were asked", len(end.servers()))
	}
	pause, resumed := -1.0, ""
	for _, line := range e.Lines {
		if gap, _ := line.Fields["gapMillis"].(float64); line.Event == event.StreamResumed.Number && gap > pause {
			pause = gap
			resumed = "from the copy of its memory"
			if line.Fields["fromCopy"] != true {
				resumed = "by reading its prompt again: no copy was left"
			}
		}
	}
	if resumed != "" {
		return fmt.Sprintf("answered, with a pause of %.0f ms after the loss of a server; it went on %s", pause, resumed)
	}
	if _, found := e.last(event.SecondServerAsked); found {
		return "answered, after a second server was asked because the first was slow"
	}
	return "answered"
}

// lastRun appends to the reason how the last run at a server ended, or, if no line
// reports that, which servers the request was sent to.
func (e *Explanation) lastRun(reason string) string {
	if run, found := e.last(event.RunEnded); found {
		return fmt.Sprintf("%s; its run at server %v ended: %v", reason, run.Fields["server"], run.Fields["reason"])
	}
	if end, found := e.last(event.RequestEnded); found && len(end.servers()) > 0 {
		return fmt.Sprintf("%s; asked without an answer: %s", strings.TrimSpace(reason), strings.Join(end.servers(), ", "))
	}
	return reason
}

func (e *Explanation) last(kind event.Event) (line Line, found bool) {
	for _, line := range slices.Backward(e.Lines) {
		if line.Event == kind.Number {
			return line, true
		}
	}
	return Line{}, false
}

// Print writes the timeline, with times relative to the request's arrival. Lines of
// the request itself are marked with a star.
func (e *Explanation) Print(out io.Writer) error {
	lines := append(slices.Clone(e.Lines), e.Context...)
	sortByTime(lines)
	arrivedAt := e.arrivedAt()
	if _, err := fmt.Fprintf(out, "request %s, arrived %s\n", e.Request, arrivedAt.UTC().Format(time.RFC3339Nano)); err != nil {
		return errors.Trace(err)
	}
	for _, line := range lines {
		mark := " "
		if line.Fields["request"] != nil {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3f s  %-20s %d %s%s\n", mark, line.At.Sub(arrivedAt).Seconds(), line.VM, line.Event, line.Text, line.details()); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := fmt.Fprintln(out, "cause:", e.Cause)
	return errors.Trace(err)
}

// details formats the fields in the order of their names, without empty and nested
// fields and the request.
func (l Line) details() string {
	names := []string{}
	for name, value := range l.Fields {
		if _, nested := value.(map[string]any); name != "request" && !nested && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := strings.Builder{}
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
	}
	return text.String()
}

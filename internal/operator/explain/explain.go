// Package explain gathers what the logs of all VMs say of one request into one
// timeline, and names the cause of its end.
//
// # Usage
//
//	found, err := explain.Read(logs, "9c41d07be2a35f68")
//	found.Print(os.Stdout)
//
// Logs are the JSON lines that VMs write, of any number of VMs, in any order. Text
// before a line's first brace is passed over, so that logs that were collected
// with a prefix can be read too.
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

// around is how long before a request and after it what a VM noted of its
// surroundings is shown.
const around = 2 * time.Second

// lineLimit bounds one line of a log, in bytes.
const lineLimit = 1 << 20

// Line is one line of a log.
type Line struct {
	At     time.Time
	VM     string
	Event  int
	Text   string
	Fields map[string]any
}

// Explanation is all that was found.
type Explanation struct {
	Request string
	Lines   []Line // Of the request.
	Beside  []Line // Of its VM and servers, around it.
	Cause   string
}

// Read gathers the lines of a request. It is an error if there are none.
func Read(logs io.Reader, request string) (explanation Explanation, err error) {
	explanation.Request = request
	others := []Line{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case line.Fields["request"] == request:
			explanation.Lines = append(explanation.Lines, line)
		case line.Event != event.RequestEnded.Number && line.Fields["request"] == nil:
			others = append(others, line)
		}
	}
	if err = scanner.Err(); err != nil {
		return explanation, errors.Annotate(err, "reading the logs")
	}
	if len(explanation.Lines) == 0 {
		return explanation, errors.NotFoundf("request %s in these logs", request)
	}
	byTime(explanation.Lines)
	explanation.Beside = explanation.beside(others)
	explanation.Cause = explanation.cause()
	return explanation, nil
}

func parse(raw []byte) (line Line, ok bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false // Other text between the lines.
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

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// beside picks what the request's VMs noted of its servers, of the store and of
// themselves, and what any VM at any time held against requests with the same content.
func (e *Explanation) beside(others []Line) []Line {
	vms, servers, contents := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range e.Lines {
		vms[line.VM] = true
		if content, found := line.Fields["content"].(string); found {
			contents[content] = true
		}
		for _, server := range line.servers() {
			servers[server] = true
		}
	}
	from := e.began().Add(-around)
	to := e.Lines[len(e.Lines)-1].At.Add(around)
	picked := []Line{}
	for _, line := range others {
		if content, found := line.Fields["content"].(string); found {
			if contents[content] {
				picked = append(picked, line)
			}
			continue
		}
		server, _ := line.Fields["server"].(string)
		about := servers[server] || (server == "" && line.Event != event.ServersChanged.Number)
		if vms[line.VM] && line.At.After(from) && line.At.Before(to) && about {
			picked = append(picked, line)
		}
	}
	byTime(picked)
	return picked
}

// began is when the request reached its VM, which its last line tells.
func (e *Explanation) began() time.Time {
	last := e.Lines[len(e.Lines)-1]
	took, _ := last.Fields["millis"].(float64)
	return last.At.Add(-time.Duration(took) * time.Millisecond)
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

// cause names why the request ended as it did.
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

// answeredCause tells what kept an answer from being a good one.
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

// lastRun adds how the last run at a server ended, or which servers were asked
// if none told.
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

// Print writes the timeline, times counted from the request's arrival.
func (e *Explanation) Print(out io.Writer) error {
	lines := append(slices.Clone(e.Lines), e.Beside...)
	byTime(lines)
	began := e.began()
	if _, err := fmt.Fprintf(out, "request %s, arrived %s\n", e.Request, began.UTC().Format(time.RFC3339Nano)); err != nil {
		return errors.Trace(err)
	}
	for _, line := range lines {
		mark := " "
		if line.Fields["request"] != nil {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3f s  %-20s %d %s%s\n", mark, line.At.Sub(began).Seconds(), line.VM, line.Event, line.Text, line.details()); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := fmt.Fprintln(out, "cause:", e.Cause)
	return errors.Trace(err)
}

// details lists the fields by name, but for the request and the nested ones.
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

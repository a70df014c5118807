package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// Rollout is the timeline of the newest roll-out of a service in some logs, and why it ended as it
// did. Of lines that several VMs logged alike it has the first.
type Rollout struct {
	Service string
	Lines   []RolloutLine
	Cause   string
}

// RolloutLine is a line that VMs logged alike. LastAfter is the time from the first to the last.
type RolloutLine struct {
	Line
	VMs       int
	LastAfter time.Duration
}

// rolloutEvents are the events of a roll-out.
var rolloutEvents = []event.Event{
	event.RolloutOrdered, event.RolloutOrderRefused, event.RolloutWithdrawn, event.RolloutStageEntered, event.RolloutCompleted,
	event.RolloutRolledBack, event.RolloutCoordinated, event.RolloutNotWritten, event.RolloutSuspended, event.RolloutStateUnread,
}

// ReadRollout collects the lines of the newest roll-out of a service. It is an error if there are
// none.
func ReadRollout(logs io.Reader, service string) (found Rollout, err error) {
	found.Service = service
	lines, err := readLines(logs, func(line Line) bool {
		isEvent := slices.ContainsFunc(rolloutEvents, func(e event.Event) bool { return e.Number == line.Event })
		return isEvent && line.Fields["service"] == service
	})
	if err != nil {
		return found, err
	}
	if len(lines) == 0 {
		return found, errors.NotFoundf("roll-out of service %s in these logs", service)
	}
	sortByTime(lines)
	found.Lines = collapse(sinceNewestOrder(lines))
	found.Cause = found.cause()
	return found, nil
}

// sinceNewestOrder drops the lines from before the newest order was first seen.
func sinceNewestOrder(lines []Line) []Line {
	first := 0
	for i, line := range lines {
		if line.Event == event.RolloutOrdered.Number && compareRevisions(line, lines[first]) > 0 {
			first = i
		}
	}
	return lines[first:]
}

// compareRevisions compares the orders of two lines; a line without an order is before all.
func compareRevisions(a, b Line) int {
	number := func(line Line, field string) float64 {
		value, found := line.Fields[field].(float64)
		if !found || line.Event != event.RolloutOrdered.Number {
			return -1
		}
		return value
	}
	return cmp.Or(cmp.Compare(number(a, "era"), number(b, "era")), cmp.Compare(number(a, "revision"), number(b, "revision")))
}

// collapse joins lines that differ only in their VM and time, and in whom the VM had it from.
func collapse(lines []Line) []RolloutLine {
	collapsed := []RolloutLine{}
	indexes := map[string]int{}
	for _, line := range lines {
		fields := maps.Clone(line.Fields)
		delete(fields, "from")
		key := fmt.Sprint(line.Event, fields)
		index, found := indexes[key]
		if !found {
			indexes[key] = len(collapsed)
			collapsed = append(collapsed, RolloutLine{Line: line, VMs: 1})
			continue
		}
		collapsed[index].VMs++
		collapsed[index].LastAfter = line.At.Sub(collapsed[index].At)
	}
	return collapsed
}

// cause describes why the roll-out is where it is.
func (r *Rollout) cause() string {
	for _, line := range slices.Backward(r.Lines) {
		to, reason := line.Fields["to"], line.Fields["reason"]
		switch line.Event {
		case event.RolloutRolledBack.Number:
			return fmt.Sprintf("version %v was rolled back: %v", to, reason)
		case event.RolloutCompleted.Number:
			return fmt.Sprintf("version %v is completed: %v", to, reason)
		case event.RolloutWithdrawn.Number:
			return "its order was removed, or replaced by one that can't be read"
		case event.RolloutOrderRefused.Number:
			return fmt.Sprintf("its order in row %v can't be read", line.Fields["key"])
		case event.RolloutStageEntered.Number:
			stage, _ := line.Fields["stage"].(string)
			if rollout.Stage(stage).IsFinal() {
				continue // The line of its event tells more.
			}
			return fmt.Sprintf("version %v is in stage %v: %v%s", to, stage, reason, r.storeTrouble(line.At))
		}
	}
	return "no VM has written a state" + r.storeTrouble(time.Time{})
}

// storeTrouble tells of writes that failed after a time.
func (r *Rollout) storeTrouble(after time.Time) string {
	for _, line := range slices.Backward(r.Lines) {
		if line.Event == event.RolloutNotWritten.Number && line.At.After(after) {
			return fmt.Sprintf("; stage %v could not be written since: %v", line.Fields["stage"], line.Fields["error"])
		}
	}
	return ""
}

// Print writes the timeline, with times relative to its first line.
func (r *Rollout) Print(out io.Writer) error {
	first := r.Lines[0].At
	if _, err := fmt.Fprintf(out, "roll-out of service %s, from %s\n", r.Service, first.UTC().Format(time.RFC3339Nano)); err != nil {
		return errors.Trace(err)
	}
	for _, line := range r.Lines {
		others := ""
		if line.VMs > 1 {
			others = fmt.Sprintf(" (%d VMs, the last %.3f s later)", line.VMs, line.LastAfter.Seconds())
		}
		if _, err := fmt.Fprintf(out, "%+9.3f s  %-20s %d %s%s%s\n", line.At.Sub(first).Seconds(), line.VM, line.Event, line.Text, line.details(), others); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := fmt.Fprintln(out, "cause:", r.Cause)
	return errors.Trace(err)
}

package action

import (
	"time"
)

const (
	// takeoverMargin is added to another VM's DispatchUntil to allow for clock
	// skew.
	takeoverMargin = 2 * time.Second
	// maxUnknownWrites bounds the writes with an unknown outcome and the conflicts
	// on a result, after which the machine answers with what is certain.
	maxUnknownWrites = 4
)

// Request is one request to run at most once. Deadline bounds sending and the wait
// for the service's answer; WaitUntil bounds the wait for another VM that works on
// the same key.
type Request struct {
	Account    string
	Key        string
	Attempt    string // Unique to this attempt.
	VM         string
	BodyHash   string
	HonoursKey bool // The service executes a key once, however often it is sent.
	Deadline   time.Time
	WaitUntil  time.Time
	ExpiresAt  time.Time
}

// OpKind is the kind of a Machine's next step.
type OpKind int

const (
	// OpUnset is never returned.
	OpUnset OpKind = iota
	// OpRead reads the row; report with ReadDone.
	OpRead
	// OpWrite writes Row if the row's version is Expected; report with WriteDone.
	OpWrite
	// OpSend sends the work to the service; report with SendDone.
	OpSend
	// OpWait waits for the poll interval while another VM works; report with
	// WaitDone.
	OpWait
	// OpAnswer ends the machine: Answer is final on this VM.
	OpAnswer
)

// Op is one step to execute.
type Op struct {
	Kind     OpKind
	Row      Row
	Expected string
	Answer   Answer
}

// AnswerKind is the kind of the final answer to the caller.
type AnswerKind int

const (
	// AnswerUnset is never returned.
	AnswerUnset AnswerKind = iota
	// AnswerResult carries the service's result.
	AnswerResult
	// AnswerNotRun promises that the work did not run and never will.
	AnswerNotRun
	// AnswerOutcomeUnknown means that the work may have run.
	AnswerOutcomeUnknown
	// AnswerStateNotKnown means that this VM can't determine the state; the caller
	// should ask again with the same key.
	AnswerStateNotKnown
	// AnswerKeyReused means that the key was used with another body.
	AnswerKeyReused
	// AnswerKeyExpired means that the key has expired.
	AnswerKeyExpired
)

// Answer is the final answer of this VM to a request. Saved is false for a result
// that could not be saved; if the caller asks again, the outcome may be unknown.
type Answer struct {
	Kind   AnswerKind
	Result *Result
	Saved  bool
	Reason string
}

// WriteOutcome is the outcome of a write.
type WriteOutcome int

const (
	// WriteUnset is never reported.
	WriteUnset WriteOutcome = iota
	// WriteOK means that the write took effect.
	WriteOK
	// WriteConflict means that the write did not take effect, since the row has
	// another version.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may still do so.
	WriteUnknown
)

// SendOutcome is the outcome of sending the work.
type SendOutcome int

const (
	// SendUnset is never reported.
	SendUnset SendOutcome = iota
	// SendAnswered means that the service answered with a result.
	SendAnswered
	// SendNotSent proves that no byte of the request reached any server.
	SendNotSent
	// SendUnknown means that the work may have run.
	SendUnknown
)

// phase is the state of a machine. The first is phaseClaim, since a key is nearly
// always new and a read first would cost each action one more call.
type phase int

const (
	phaseClaim phase = iota
	phaseRead
	phaseTakeOver
	phaseSend
	phaseFinalize
	phaseWait
	phaseEnded
)

// Machine processes one request by means of its row. It does no I/O: Next returns
// the next step, and the Done methods report its outcome.
type Machine struct {
	request       Request
	phase         phase
	row           Row    // The last known row; zero without one.
	version       string // Version of row.
	ownsRow       bool   // The row holds this attempt's "dispatched", known to have taken effect.
	resending     bool   // The work is sent again for a row in StateUnknown.
	maybeSent     bool   // An earlier send of this key may have reached the service.
	final         Row    // The row that phaseFinalize writes.
	unknownWrites int    // Writes with an unknown outcome, and conflicts on a result.
	answer        Answer
}

// NewMachine returns a machine for a request.
func NewMachine(request Request) *Machine {
	return &Machine{request: request}
}

// Next returns the next step.
func (m *Machine) Next(now time.Time) Op {
	switch m.phase {
	case phaseRead:
		return Op{Kind: OpRead}
	case phaseClaim:
		return Op{Kind: OpWrite, Row: m.claim(), Expected: ""}
	case phaseTakeOver:
		return Op{Kind: OpWrite, Row: m.claim(), Expected: m.version}
	case phaseSend:
		if !now.Before(m.request.Deadline) {
			m.sendDeadlinePassed()
			return m.Next(now)
		}
		return Op{Kind: OpSend}
	case phaseFinalize:
		return Op{Kind: OpWrite, Row: m.final, Expected: m.version}
	case phaseWait:
		return Op{Kind: OpWait}
	}
	return Op{Kind: OpAnswer, Answer: m.answer}
}

// sendDeadlinePassed ends a machine whose deadline for sending has passed, for
// instance during a pause of the VM. If nothing was sent, nothing will be sent
// from here on.
func (m *Machine) sendDeadlinePassed() {
	if m.ownsRow && !m.maybeSent {
		m.finalize(Row{State: StateRefused, Reason: "the deadline passed before the work was sent"})
		return
	}
	m.endWithUnknownOutcome()
}

// endWithUnknownOutcome ends work that may have run.
func (m *Machine) endWithUnknownOutcome() {
	if m.row.State == StateUnknown {
		m.end(Answer{Kind: AnswerOutcomeUnknown, Saved: true, Reason: m.row.Reason})
		return
	}
	m.finalize(Row{State: StateUnknown, Reason: "the service did not answer after the work was sent"})
}

func (m *Machine) claim() Row {
	return Row{
		State:         StateDispatched,
		Attempt:       m.request.Attempt,
		VM:            m.request.VM,
		BodyHash:      m.request.BodyHash,
		DispatchUntil: m.request.Deadline,
		ExpiresAt:     m.request.ExpiresAt,
	}
}

func (m *Machine) end(answer Answer) {
	m.answer = answer
	m.phase = phaseEnded
}

// Refuse makes the machine record that the work never runs, instead of running it.
// It must be called before the first step.
func (m *Machine) Refuse(reason string) {
	m.final = m.claim()
	m.final.State = StateRefused
	m.final.Reason = reason
	m.phase = phaseFinalize
}

// finalize starts writing a final state over this attempt's row or an overdue one.
func (m *Machine) finalize(final Row) {
	row := m.row
	row.State = final.State
	row.Result = final.Result
	row.Reason = final.Reason
	m.final = row
	m.phase = phaseFinalize
}

// ReadDone reports the outcome of a read. row is nil if there is none. failed
// means that the table did not answer.
func (m *Machine) ReadDone(row *Row, version string, failed bool, now time.Time) {
	switch {
	case failed:
		m.endWithoutTable()
	case row == nil && m.final.State != "":
		m.phase = phaseFinalize // The refusal of a new row has not taken effect yet.
	case row == nil:
		m.phase = phaseClaim
	case m.isOwnAttempt(*row) && row.State == StateDispatched:
		m.row, m.version = *row, version
		m.continueOwnRow()
	default:
		m.row, m.version = *row, version
		m.handleOtherRow(now)
	}
}

func (m *Machine) isOwnAttempt(row Row) bool {
	return row.Attempt == m.request.Attempt
}

// endWithoutTable ends with what is certain without the table.
func (m *Machine) endWithoutTable() {
	switch m.final.State {
	case StateDone:
		m.end(Answer{Kind: AnswerResult, Result: m.final.Result})
	case StateUnknown:
		m.end(Answer{Kind: AnswerOutcomeUnknown, Reason: m.final.Reason})
	default:
		m.end(Answer{Kind: AnswerStateNotKnown, Reason: "the table service does not answer"})
	}
}

// continueOwnRow continues once this attempt's "dispatched" is known to have taken
// effect.
func (m *Machine) continueOwnRow() {
	m.ownsRow = true
	if m.final.State != "" {
		m.phase = phaseFinalize // The final write has not taken effect.
		return
	}
	m.phase = phaseSend
}

// handleOtherRow handles a row that has ended or that another VM works on.
func (m *Machine) handleOtherRow(now time.Time) {
	row := m.row
	switch {
	case row.BodyHash != m.request.BodyHash:
		m.end(Answer{Kind: AnswerKeyReused})
	case now.After(row.ExpiresAt):
		m.end(Answer{Kind: AnswerKeyExpired})
	case row.State == StateDone:
		m.end(Answer{Kind: AnswerResult, Result: row.Result, Saved: true})
	case row.State == StateRefused:
		m.end(Answer{Kind: AnswerNotRun, Saved: true, Reason: row.Reason})
	case row.State == StateUnknown && !m.request.HonoursKey:
		m.end(Answer{Kind: AnswerOutcomeUnknown, Saved: true, Reason: row.Reason})
	case row.State == StateUnknown:
		m.resend(now)
	case now.After(row.DispatchUntil.Add(takeoverMargin)):
		m.takeOverOverdue(now)
	case now.Before(m.request.WaitUntil):
		m.phase = phaseWait
	default:
		m.end(Answer{Kind: AnswerStateNotKnown, Reason: "another VM is working on this key"})
	}
}

// takeOverOverdue ends the work of a VM whose DispatchUntil has passed.
func (m *Machine) takeOverOverdue(now time.Time) {
	if m.request.HonoursKey && now.Before(m.request.Deadline) {
		// The row must be claimed before anything is sent. Otherwise the VM that
		// seemed gone could still write that it never sent the work, and report
		// notRun.
		m.maybeSent = true
		m.phase = phaseTakeOver
		return
	}
	m.finalize(Row{State: StateUnknown, Reason: "the VM that sent the work did not say how it ended"})
}

// resend sends the work again, which is safe only because the service honours the
// key.
func (m *Machine) resend(now time.Time) {
	if m.resending || !now.Before(m.request.Deadline) {
		m.end(Answer{Kind: AnswerOutcomeUnknown, Reason: "the service does not answer"})
		return
	}
	m.resending = true
	m.ownsRow = false
	m.final = Row{}
	m.phase = phaseSend
}

// WriteDone reports the outcome of a write.
func (m *Machine) WriteDone(version string, outcome WriteOutcome, now time.Time) {
	claiming := m.phase == phaseClaim || m.phase == phaseTakeOver
	switch {
	case outcome == WriteOK && claiming:
		m.row, m.version = m.claim(), version
		m.continueOwnRow()
	case outcome == WriteOK:
		m.row, m.version = m.final, version
		m.answerFromFinal()
	case outcome == WriteConflict && !claiming && m.final.State == StateDone && !m.resending:
		m.conflictOnResult()
	case outcome == WriteConflict:
		m.rereadAfterConflict()
	default:
		m.rereadUnknownWrite()
	}
}

// answerFromFinal answers from the final row, which was just written.
func (m *Machine) answerFromFinal() {
	switch m.final.State {
	case StateDone:
		m.end(Answer{Kind: AnswerResult, Result: m.final.Result, Saved: true})
	case StateRefused:
		m.end(Answer{Kind: AnswerNotRun, Saved: true, Reason: m.final.Reason})
	default:
		m.end(Answer{Kind: AnswerOutcomeUnknown, Saved: true, Reason: m.final.Reason})
	}
}

// conflictOnResult reads the row after a conflict on the write of a result: an
// earlier try of the same write may have taken effect, or another VM may have
// written that the outcome is unknown.
func (m *Machine) conflictOnResult() {
	m.unknownWrites++
	if m.unknownWrites >= maxUnknownWrites {
		m.end(Answer{Kind: AnswerResult, Result: m.final.Result})
		return
	}
	m.phase = phaseRead
}

// rereadAfterConflict reads what another VM, or an earlier try of this one, has
// written.
func (m *Machine) rereadAfterConflict() {
	if m.final.State == StateRefused && !m.ownsRow {
		m.final = Row{} // Another VM has written the row, and that row decides.
	}
	m.phase = phaseRead
}

// rereadUnknownWrite reads the row before the write is tried again. Both are safe:
// of all tries with one expected version at most one takes effect.
func (m *Machine) rereadUnknownWrite() {
	m.unknownWrites++
	if m.unknownWrites >= maxUnknownWrites {
		m.endWithoutTable()
		return
	}
	m.phase = phaseRead
}

// SendDone reports the outcome of sending.
func (m *Machine) SendDone(outcome SendOutcome, result *Result, now time.Time) {
	switch {
	case outcome == SendAnswered:
		m.finalize(Row{State: StateDone, Result: result})
	case outcome == SendNotSent && m.ownsRow && !m.maybeSent:
		m.finalize(Row{State: StateRefused, Reason: "no server of the service could be reached"})
	case m.request.HonoursKey && now.Before(m.request.Deadline):
		m.maybeSent = true
		m.phase = phaseSend // The service runs a key once, so sending again is safe.
	default:
		m.maybeSent = true
		m.endWithUnknownOutcome()
	}
}

// WaitDone reports the end of a wait; the row is read again.
func (m *Machine) WaitDone() {
	m.phase = phaseRead
}

// UnsavedResult returns a row with a result that has yet to be saved, and the
// version that it replaces. ok is false if there is none.
func (m *Machine) UnsavedResult() (row Row, version string, ok bool) {
	pending := m.phase == phaseEnded && m.answer.Kind == AnswerResult && !m.answer.Saved && m.version != ""
	return m.final, m.version, pending
}

package action

import (
	"time"
)

const (
	// takeoverSlack is added to another VM's DispatchUntil for clock skew.
	takeoverSlack = 2 * time.Second
	// writeTries bounds the writes without a clear end before the machine answers
	// with what is certain.
	writeTries = 4
)

// Request is one request to run at most once. Deadline is the deadline for sending
// and for the service's answer; AnswerUntil the one for waiting on another VM.
type Request struct {
	Account    string
	Key        string
	Attempt    string // Unique to this try.
	VM         string
	BodyHash   string
	HonoursKey bool // The service runs one key once, however often it is sent.
	Deadline   time.Time
	WaitUntil  time.Time
	ExpiresAt  time.Time
}

// OpKind is what a Machine wants done next.
type OpKind int

const (
	// OpUnset is never wanted.
	OpUnset OpKind = iota
	// OpRead reads the row; answer with ReadDone.
	OpRead
	// OpWrite writes Row where the version is Expected; answer with WriteDone.
	OpWrite
	// OpSend sends the work to the service; answer with SendDone.
	OpSend
	// OpWait waits a moment for another VM; answer with Waited.
	OpWait
	// OpAnswer ends the machine: Answer is the final word.
	OpAnswer
)

// Op is one wanted step.
type Op struct {
	Kind     OpKind
	Row      Row
	Expected string
	Answer   Answer
}

// AnswerKind is the final word to the caller.
type AnswerKind int

const (
	// AnswerUnset is never given.
	AnswerUnset AnswerKind = iota
	// AnswerResult carries the service's result.
	AnswerResult
	// AnswerNotRun promises that the work did not run and never will.
	AnswerNotRun
	// AnswerOutcomeUnknown says that the work may have run.
	AnswerOutcomeUnknown
	// AnswerStateNotKnown says that this VM can't tell; ask again with the same key.
	AnswerStateNotKnown
	// AnswerKeyReused says that the key stands for another body.
	AnswerKeyReused
	// AnswerKeyExpired says that the key is too old.
	AnswerKeyExpired
)

// Answer is the end of a request on this VM. Kept is false for a result that
// could not be written down; asked again, the request's end may be unknown.
type Answer struct {
	Kind   AnswerKind
	Result *Result
	Kept   bool
	Reason string
}

// WriteOutcome is what is known of a write.
type WriteOutcome int

const (
	// WriteUnset is never given.
	WriteUnset WriteOutcome = iota
	// WriteOK means that it took effect.
	WriteOK
	// WriteConflict means that it did not, since the row has another version.
	WriteConflict
	// WriteUnknown means that it may have taken or may yet take effect.
	WriteUnknown
)

// SendOutcome is what is known of the work that was sent.
type SendOutcome int

const (
	// SendUnset is never given.
	SendUnset SendOutcome = iota
	// SendAnswered means that the service answered with a result.
	SendAnswered
	// SendNotSent proves that no byte of the request reached any server.
	SendNotSent
	// SendUnknown means that the work may have run.
	SendUnknown
)

// phase is where a machine is in its work. It starts by claiming, since a key
// is nearly always new and a read first would cost each action one more call.
type phase int

const (
	phaseClaim phase = iota
	phaseRead
	phaseTake
	phaseSend
	phaseSettle
	phaseWait
	phaseOver
)

// Machine takes one request through its row. It does no I/O: Next says what to
// do, and the Done methods take in how that went.
type Machine struct {
	ask      Request
	phase    phase
	row      Row    // The last known row; zero without one.
	version  string // Of that row.
	owns     bool   // Our "dispatched" is known to have taken effect.
	resolves bool   // We send again for a VM that did not end its work.
	maySent  bool   // An earlier send of ours may have reached the service.
	settled  Row    // What phaseSettle writes.
	tries    int    // Writes without a clear end.
	answer   Answer
}

// NewMachine starts a request.
func NewMachine(ask Request) *Machine {
	return &Machine{ask: ask}
}

// Next gives the wanted step.
func (m *Machine) Next(now time.Time) Op {
	switch m.phase {
	case phaseRead:
		return Op{Kind: OpRead}
	case phaseClaim:
		return Op{Kind: OpWrite, Row: m.claim(), Expected: ""}
	case phaseTake:
		return Op{Kind: OpWrite, Row: m.claim(), Expected: m.version}
	case phaseSend:
		if !now.Before(m.ask.Deadline) {
			m.tooLate()
			return m.Next(now)
		}
		return Op{Kind: OpSend}
	case phaseSettle:
		return Op{Kind: OpWrite, Row: m.settled, Expected: m.version}
	case phaseWait:
		return Op{Kind: OpWait}
	}
	return Op{Kind: OpAnswer, Answer: m.answer}
}

// tooLate ends a machine whose time to send is over, for instance because a
// pause ate it. If nothing was sent, now nothing will be.
func (m *Machine) tooLate() {
	if m.owns && !m.maySent {
		m.settle(Row{State: StateRefused, Reason: "the deadline passed before the work was sent"})
		return
	}
	m.endUnknown()
}

// endUnknown ends work that may have run.
func (m *Machine) endUnknown() {
	if m.row.State == StateUnknown {
		m.end(Answer{Kind: AnswerOutcomeUnknown, Kept: true, Reason: m.row.Reason})
		return
	}
	m.settle(Row{State: StateUnknown, Reason: "the service did not answer after the work was sent"})
}

func (m *Machine) claim() Row {
	return Row{
		State:         StateDispatched,
		Attempt:       m.ask.Attempt,
		VM:            m.ask.VM,
		BodyHash:      m.ask.BodyHash,
		DispatchUntil: m.ask.Deadline,
		ExpiresAt:     m.ask.ExpiresAt,
	}
}

func (m *Machine) end(answer Answer) {
	m.answer = answer
	m.phase = phaseOver
}

// Refuse wants the row to say that the work never runs, instead of running it.
// It must come before the first step.
func (m *Machine) Refuse(reason string) {
	m.settled = m.claim()
	m.settled.State = StateRefused
	m.settled.Reason = reason
	m.phase = phaseSettle
}

// settle begins writing a final state over our own or an overdue row.
func (m *Machine) settle(final Row) {
	settled := m.row
	settled.State = final.State
	settled.Result = final.Result
	settled.Reason = final.Reason
	m.settled = settled
	m.phase = phaseSettle
}

// ReadDone takes in a read. row is nil if there is none. failed says that the
// table did not answer.
func (m *Machine) ReadDone(row *Row, version string, failed bool, now time.Time) {
	switch {
	case failed:
		m.readFailed()
	case row == nil && m.settled.State != "":
		m.phase = phaseSettle // Our refusal of a new row did not take effect yet.
	case row == nil:
		m.phase = phaseClaim
	case m.isMine(*row) && row.State == StateDispatched:
		m.row, m.version = *row, version
		m.ownRow()
	default:
		m.row, m.version = *row, version
		m.otherRow(now)
	}
}

func (m *Machine) isMine(row Row) bool {
	return row.Attempt == m.ask.Attempt
}

// readFailed ends with what is certain without the table.
func (m *Machine) readFailed() {
	switch m.settled.State {
	case StateDone:
		m.end(Answer{Kind: AnswerResult, Result: m.settled.Result})
	case StateUnknown:
		m.end(Answer{Kind: AnswerOutcomeUnknown, Reason: m.settled.Reason})
	default:
		m.end(Answer{Kind: AnswerStateNotKnown, Reason: "the table service does not answer"})
	}
}

// ownRow goes on after our own "dispatched" was read back.
func (m *Machine) ownRow() {
	m.owns = true
	if m.settled.State != "" {
		m.phase = phaseSettle // The final write has not taken effect.
		return
	}
	m.phase = phaseSend
}

// otherRow answers from a row that ended, or that another VM works on.
func (m *Machine) otherRow(now time.Time) {
	row := m.row
	switch {
	case row.BodyHash != m.ask.BodyHash:
		m.end(Answer{Kind: AnswerKeyReused})
	case now.After(row.ExpiresAt):
		m.end(Answer{Kind: AnswerKeyExpired})
	case row.State == StateDone:
		m.end(Answer{Kind: AnswerResult, Result: row.Result, Kept: true})
	case row.State == StateRefused:
		m.end(Answer{Kind: AnswerNotRun, Kept: true, Reason: row.Reason})
	case row.State == StateUnknown && !m.ask.HonoursKey:
		m.end(Answer{Kind: AnswerOutcomeUnknown, Kept: true, Reason: row.Reason})
	case row.State == StateUnknown:
		m.resolve(now)
	case now.After(row.DispatchUntil.Add(takeoverSlack)):
		m.overdue(now)
	case now.Before(m.ask.WaitUntil):
		m.phase = phaseWait
	default:
		m.end(Answer{Kind: AnswerStateNotKnown, Reason: "another VM is working on this key"})
	}
}

// overdue ends the work of a VM that is gone.
func (m *Machine) overdue(now time.Time) {
	if m.ask.HonoursKey && now.Before(m.ask.Deadline) {
		// The row becomes ours before anything is sent. Otherwise the VM that seemed
		// gone could still write that it never sent the work, and say notRun.
		m.maySent = true
		m.phase = phaseTake
		return
	}
	m.settle(Row{State: StateUnknown, Reason: "the VM that sent the work did not say how it ended"})
}

// resolve sends the work again, which is safe only because the service honours
// the key.
func (m *Machine) resolve(now time.Time) {
	if m.resolves || !now.Before(m.ask.Deadline) {
		m.end(Answer{Kind: AnswerOutcomeUnknown, Reason: "the service does not answer"})
		return
	}
	m.resolves = true
	m.owns = false
	m.settled = Row{}
	m.phase = phaseSend
}

// WriteDone takes in a write.
func (m *Machine) WriteDone(version string, outcome WriteOutcome, now time.Time) {
	claiming := m.phase == phaseClaim || m.phase == phaseTake
	switch {
	case outcome == WriteOK && claiming:
		m.row, m.version = m.claim(), version
		m.ownRow()
	case outcome == WriteOK:
		m.row, m.version = m.settled, version
		m.settledAnswer()
	case outcome == WriteConflict && !claiming && m.settled.State == StateDone && !m.resolves:
		m.conflictOnResult()
	case outcome == WriteConflict:
		m.settledElsewhere()
	default:
		m.writeNotKnown()
	}
}

// settledAnswer answers from what was just written.
func (m *Machine) settledAnswer() {
	switch m.settled.State {
	case StateDone:
		m.end(Answer{Kind: AnswerResult, Result: m.settled.Result, Kept: true})
	case StateRefused:
		m.end(Answer{Kind: AnswerNotRun, Kept: true, Reason: m.settled.Reason})
	default:
		m.end(Answer{Kind: AnswerOutcomeUnknown, Kept: true, Reason: m.settled.Reason})
	}
}

// conflictOnResult reads why our result was not taken: an earlier try of the
// same write may have taken effect, or another VM has called the end unknown.
func (m *Machine) conflictOnResult() {
	m.tries++
	if m.tries >= writeTries {
		m.end(Answer{Kind: AnswerResult, Result: m.settled.Result})
		return
	}
	m.phase = phaseRead
}

// settledElsewhere reads what another writer, or an earlier try of ours, wrote.
func (m *Machine) settledElsewhere() {
	if m.settled.State == StateRefused && !m.owns {
		m.settled = Row{} // Somebody has the row: its word goes.
	}
	m.phase = phaseRead
}

// writeNotKnown reads back before the write is tried again. Both are safe: of
// all tries with one expected version at most one takes effect.
func (m *Machine) writeNotKnown() {
	m.tries++
	if m.tries >= writeTries {
		m.readFailed()
		return
	}
	m.phase = phaseRead
}

// SendDone takes in how sending went.
func (m *Machine) SendDone(outcome SendOutcome, result *Result, now time.Time) {
	switch {
	case outcome == SendAnswered:
		m.settle(Row{State: StateDone, Result: result})
	case outcome == SendNotSent && m.owns && !m.maySent:
		m.settle(Row{State: StateRefused, Reason: "no server of the service could be reached"})
	case m.ask.HonoursKey && now.Before(m.ask.Deadline):
		m.maySent = true
		m.phase = phaseSend // One key runs once, so sending again is safe.
	default:
		m.maySent = true
		m.endUnknown()
	}
}

// Waited looks again at what another VM has done.
func (m *Machine) Waited() {
	m.phase = phaseRead
}

// Unwritten gives a result that should still be written down, with the version
// that it replaces. ok is false if there is none.
func (m *Machine) Unwritten() (row Row, version string, ok bool) {
	pending := m.phase == phaseOver && m.answer.Kind == AnswerResult && !m.answer.Kept && m.version != ""
	return m.settled, m.version, pending
}

package action

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/platform/table"
)

const (
	// tableLimit bounds one call of the table.
	tableLimit = 400 * time.Millisecond
	// pollPause is the wait between two looks at another VM's work.
	pollPause = 100 * time.Millisecond
	// keepWriting bounds the later tries to write down a result.
	keepWriting = 2 * time.Minute
	// keepPause is the wait between them.
	keepPause = time.Second
)

// Runner takes requests through their rows. Send tries the servers of the
// service until one accepts the work. FaultPoint, when set, is called before
// each step, for tests that stop a VM there.
type Runner struct {
	Table         *table.Client
	Send          func(ctx context.Context, until time.Time) (SendOutcome, *Result)
	Now           func() time.Time
	FaultPoint    func(op Op)
	PendingWrites *sync.WaitGroup // Counts results that are still being written down.
}

// Run takes one request to its final answer on this VM.
func (r *Runner) Run(ctx context.Context, ask Request) Answer {
	return r.run(ctx, ask, NewMachine(ask))
}

// Refuse writes down that a request never runs. Only an answer of AnswerNotRun
// says that it is so.
func (r *Runner) Refuse(ctx context.Context, ask Request, reason string) Answer {
	machine := NewMachine(ask)
	machine.Refuse(reason)
	return r.run(ctx, ask, machine)
}

func (r *Runner) run(ctx context.Context, ask Request, machine *Machine) Answer {
	key := Key(ask.Account, ask.Key)
	sent := false
	for {
		op := machine.Next(r.Now())
		if r.FaultPoint != nil {
			r.FaultPoint(op)
		}
		switch op.Kind {
		case OpRead:
			r.read(ctx, key, machine)
		case OpWrite:
			r.write(ctx, key, op, machine)
		case OpSend:
			if sent {
				r.wait(ctx)
			}
			sent = true
			outcome, result := r.Send(ctx, ask.Deadline)
			machine.SendDone(outcome, result, r.Now())
		case OpWait:
			r.wait(ctx)
			machine.Waited()
		case OpAnswer:
			r.keep(key, machine)
			return op.Answer
		}
	}
}

func (r *Runner) read(ctx context.Context, key string, machine *Machine) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableLimit)
	defer cancel()
	row, err := r.Table.Get(ctx, key)
	if err != nil {
		machine.ReadDone(nil, "", true, r.Now())
		return
	}
	if row.Version == "" {
		machine.ReadDone(nil, "", false, r.Now())
		return
	}
	decoded, err := decodeRow(row.Value)
	if err != nil {
		machine.ReadDone(nil, "", true, r.Now())
		return
	}
	machine.ReadDone(&decoded, row.Version, false, r.Now())
}

func (r *Runner) write(ctx context.Context, key string, op Op, machine *Machine) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableLimit)
	defer cancel()
	version, err := r.Table.Write(ctx, key, op.Expected, encodeRow(op.Row))
	switch {
	case err == nil:
		machine.WriteDone(version, WriteOK, r.Now())
	case errors.Is(err, table.ErrConflict):
		machine.WriteDone("", WriteConflict, r.Now())
	default:
		machine.WriteDone("", WriteUnknown, r.Now())
	}
}

func (r *Runner) wait(ctx context.Context) {
	select {
	case <-time.After(pollPause):
	case <-ctx.Done():
	}
}

// keep goes on writing down a result that the table did not take, so that a
// caller who asks again gets it.
func (r *Runner) keep(key string, machine *Machine) {
	row, version, ok := machine.Unwritten()
	if !ok {
		return
	}
	until := r.Now().Add(keepWriting)
	r.PendingWrites.Add(1)
	go func() {
		defer r.PendingWrites.Done()
		for r.Now().Before(until) {
			time.Sleep(keepPause)
			ctx, cancel := context.WithTimeout(context.Background(), tableLimit)
			_, err := r.Table.Write(ctx, key, version, encodeRow(row))
			cancel()
			if err == nil || errors.Is(err, table.ErrConflict) {
				return
			}
		}
	}()
}

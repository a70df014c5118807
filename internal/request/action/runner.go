package action

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/platform/table"
)

const (
	// tableTimeout bounds one call of the table.
	tableTimeout = 400 * time.Millisecond
	// pollInterval is the time between two reads of a row that another VM works
	// on, and between two sends of one key.
	pollInterval = 100 * time.Millisecond
	// saveTimeout bounds the background retries that save a result.
	saveTimeout = 2 * time.Minute
	// saveInterval is the time between these retries.
	saveInterval = time.Second
)

// Runner executes the steps of a Machine. Send tries the servers of the service
// until one accepts the work. FaultPoint, if set, is called before each step;
// tests use it to stop a VM there.
type Runner struct {
	Table         *table.Client
	Send          func(ctx context.Context, until time.Time) (SendOutcome, *Result)
	Now           func() time.Time
	FaultPoint    func(op Op)
	PendingWrites *sync.WaitGroup // Counts results that are still being saved.
}

// Run processes one request until this VM has a final answer.
func (r *Runner) Run(ctx context.Context, request Request) Answer {
	return r.run(ctx, request, NewMachine(request))
}

// Refuse records that a request never runs. The refusal is certain only if the
// answer is AnswerNotRun.
func (r *Runner) Refuse(ctx context.Context, request Request, reason string) Answer {
	machine := NewMachine(request)
	machine.Refuse(reason)
	return r.run(ctx, request, machine)
}

func (r *Runner) run(ctx context.Context, request Request, machine *Machine) Answer {
	key := Key(request.Account, request.Key)
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
			outcome, result := r.Send(ctx, request.Deadline)
			machine.SendDone(outcome, result, r.Now())
		case OpWait:
			r.wait(ctx)
			machine.WaitDone()
		case OpAnswer:
			r.saveInBackground(key, machine)
			return op.Answer
		}
	}
}

func (r *Runner) read(ctx context.Context, key string, machine *Machine) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
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
	case <-time.After(pollInterval):
	case <-ctx.Done():
	}
}

// saveInBackground retries to save a result that the table did not take, so that a
// caller who asks again gets it.
func (r *Runner) saveInBackground(key string, machine *Machine) {
	row, version, ok := machine.UnsavedResult()
	if !ok {
		return
	}
	until := r.Now().Add(saveTimeout)
	r.PendingWrites.Add(1)
	go func() {
		defer r.PendingWrites.Done()
		for r.Now().Before(until) {
			time.Sleep(saveInterval)
			ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
			_, err := r.Table.Write(ctx, key, version, encodeRow(row))
			cancel()
			if err == nil || errors.Is(err, table.ErrConflict) {
				return
			}
		}
	}()
}

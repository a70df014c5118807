package terminal

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/caller/locate"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
)

// callerFlags are the VMs to ask first, the client account's token and the output
// format.
type callerFlags struct {
	Entry  []string `help:"Base URL of a VM; may be repeated." env:"ENDIVESPOKE_ENTRY" default:"http://127.0.0.1:8080"`
	Token  string   `help:"Client account's bearer token." env:"ENDIVESPOKE_TOKEN"`
	Output string   `help:"One of text, json." enum:"text,json" default:"text"`
}

func (f callerFlags) client() *client.Client {
	return client.New(client.Options{Entries: f.Entry, Token: f.Token})
}

type locateCommand struct {
	callerFlags
}

// Run prints the VMs that callers may use.
func (c *locateCommand) Run(t *terminal) (err error) {
	httpClient := &http.Client{Timeout: operatorTimeout}
	var answer locate.Answer
	for _, base := range c.Entry {
		if answer, err = locate.Fetch(context.Background(), httpClient, base); err == nil {
			break
		}
	}
	if err != nil {
		return exit(exitFailed, "%v", err)
	}
	if c.Output == "json" {
		return json.NewEncoder(t.out).Encode(answer)
	}
	for _, entry := range answer.Entries {
		fmt.Fprintf(t.out, "http://%s\t%s\n", entry.Address, entry.FailureDomain)
	}
	fmt.Fprintln(t.out, "keep until", answer.KeepUntil.Format(time.RFC3339))
	return nil
}

type generateCommand struct {
	callerFlags
	Model     string `help:"Model to use." required:""`
	MaxTokens int    `help:"Maximum number of tokens to generate." default:"256"`
	Key       string `help:"Idempotency-Key that identifies the request."`
	Priority  string `help:"Priority; the account's first if empty."`
	Prompt    string `arg:"" help:"Prompt, or - for the standard input."`
}

// Run streams the text of an answer to the standard output. With JSON output it
// prints the complete answer, and the progress to a terminal.
func (c *generateCommand) Run(t *terminal) (err error) {
	if c.Prompt == "-" {
		var body []byte
		if body, err = io.ReadAll(t.in); err != nil {
			return exit(exitUsage, "%v", err)
		}
		c.Prompt = string(body)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	onText := func(text string) { fmt.Fprint(t.out, text) }
	if c.Output == "json" {
		onText = c.progress(t)
	}
	request := client.Request{Key: c.Key, Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Priority: c.Priority}
	var answer client.Answer
	if answer, err = c.client().Generate(ctx, request, onText); err != nil {
		return callerError(err)
	}
	if c.Output == "json" {
		return json.NewEncoder(t.out).Encode(answer)
	}
	fmt.Fprintln(t.out)
	return nil
}

// progress counts the received texts on the standard error if that is a terminal.
func (c *generateCommand) progress(t *terminal) func(string) {
	file, isFile := t.err.(*os.File)
	if !isFile {
		return nil
	}
	if info, err := file.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	count := 0
	return func(string) {
		count++
		fmt.Fprintf(t.err, "\r%d pieces", count)
	}
}

func callerError(err error) error {
	var refused *client.ProblemError
	if !errors.As(err, &refused) {
		return exit(exitFailed, "%v", err)
	}
	switch refused.Document.Outcome {
	case problem.OutcomeUnknown, problem.StateNotKnown:
		return exit(exitUnknown, "%v", err)
	}
	return exit(exitFailed, "%v", err)
}

type callCommand struct {
	callerFlags
	Method string `help:"HTTP method." default:"GET"`
	Key    string `help:"Idempotency-Key; required for calls that are not idempotent."`
	Body   string `help:"Body, or - for the standard input."`
	Path   string `arg:"" help:"Service and path, as in booking/bookings."`
}

// Run makes one call and prints the reply.
func (c *callCommand) Run(t *terminal) (err error) {
	body := []byte(c.Body)
	if c.Body == "-" {
		if body, err = io.ReadAll(t.in); err != nil {
			return exit(exitUsage, "%v", err)
		}
	}
	status, reply, err := c.client().Call(context.Background(), strings.ToUpper(c.Method), c.Path, c.Key, body)
	if err != nil {
		return exit(exitUnknown, "%v; ask again with the same key", err)
	}
	if status >= http.StatusBadRequest {
		return problemError(fmt.Sprint(status), reply)
	}
	fmt.Fprintln(t.out, strings.TrimSpace(string(reply)))
	return nil
}

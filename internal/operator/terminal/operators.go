package terminal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/operator/admin"
)

// operatorTimeout bounds one HTTP request of a command.
const operatorTimeout = 30 * time.Second

// operatorFlags are the VM to send requests to, the operator's token and the output
// format.
type operatorFlags struct {
	Operator string `help:"Base URL of a VM's operator address." env:"ENDIVESPOKE_OPERATOR" default:"http://127.0.0.1:8082"`
	Token    string `help:"Operator's bearer token." env:"ENDIVESPOKE_OPERATOR_TOKEN"`
	Output   string `help:"One of text, json." enum:"text,json" default:"text"`
}

// call sends one request. If the answer is a problem document, call returns an error
// with the exit code for it.
func (f operatorFlags) call(method, path string, body []byte, match string, into any) (err error) {
	var request *http.Request
	if request, err = http.NewRequest(method, f.Operator+path, bytes.NewReader(body)); err != nil {
		return exit(exitUsage, "%v", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.Token)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	client := &http.Client{Timeout: operatorTimeout}
	var response *http.Response
	if response, err = client.Do(request); err != nil {
		return exit(exitFailed, "%v", err)
	}
	defer response.Body.Close()
	var reply []byte
	if reply, err = io.ReadAll(response.Body); err != nil {
		return exit(exitFailed, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(response.Status, reply)
	}
	return errors.Trace(json.Unmarshal(reply, into))
}

// problemDocument is a problem document whose faults are not decoded.
type problemDocument struct {
	Detail  string          `json:"detail"`
	Code    problem.Code    `json:"code"`
	Outcome problem.Outcome `json:"outcome"`
	Faults  json.RawMessage `json:"faults"`
}

func problemError(status string, reply []byte) error {
	var document problemDocument
	if err := json.Unmarshal(reply, &document); err != nil || document.Code == "" {
		return exit(exitFailed, "%s: %s", status, reply)
	}
	message := string(document.Code) + ": " + document.Detail
	if len(document.Faults) > 0 {
		message += "\n" + string(document.Faults)
	}
	switch {
	case document.Code == problem.ConfigurationInvalid:
		return exit(exitInvalid, "%s", message)
	case document.Code == problem.ConfigurationConflict:
		return exit(exitConflict, "%s", message)
	case document.Outcome == problem.OutcomeUnknown || document.Outcome == problem.StateNotKnown:
		return exit(exitUnknown, "%s", message)
	}
	return exit(exitFailed, "%s", message)
}

func (f operatorFlags) printJSON(t *terminal, value any) (bool, error) {
	if f.Output != "json" {
		return false, nil
	}
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return true, encoder.Encode(value)
}

type configCommand struct {
	Check   checkCommand   `cmd:"" help:"Check a complete configuration file. Needs no VM."`
	Publish publishCommand `cmd:"" help:"Publish a file as the next revision."`
	Show    showCommand    `cmd:"" help:"Print a published configuration."`
	Diff    diffCommand    `cmd:"" help:"List the differences between a file and the newest configuration."`
	History historyCommand `cmd:"" help:"List the published revisions."`
}

// readConfiguration reads and parses a file, or the standard input for "-".
func readConfiguration(t *terminal, file string) (set object.Set, err error) {
	var body []byte
	if file == "-" {
		body, err = io.ReadAll(t.in)
	} else {
		body, err = os.ReadFile(file)
	}
	if err != nil {
		return object.Set{}, exit(exitUsage, "%v", err)
	}
	if set, err = object.Parse(body); err != nil {
		return object.Set{}, exit(exitInvalid, "%s: %v", file, err)
	}
	return set, nil
}

type checkCommand struct {
	File   string `arg:"" help:"Configuration file, or - for the standard input."`
	Output string `help:"One of text, json." enum:"text,json" default:"text"`
}

// Run checks a file without sending a request.
func (c *checkCommand) Run(t *terminal) (err error) {
	var set object.Set
	if set, err = readConfiguration(t, c.File); err != nil {
		return err
	}
	faults := object.Check(set)
	if c.Output == "json" {
		result := admin.CheckResult{Valid: len(faults) == 0, Hash: object.Hash(set), Faults: faults}
		if err = json.NewEncoder(t.out).Encode(result); err != nil {
			return errors.Trace(err)
		}
	}
	if len(faults) == 0 {
		if c.Output == "text" {
			fmt.Fprintln(t.out, "valid", object.Hash(set))
		}
		return nil
	}
	if c.Output == "text" {
		for _, fault := range faults {
			fmt.Fprintln(t.out, fault)
		}
	}
	return exit(exitInvalid, "%s breaks %d rules", c.File, len(faults))
}

type publishCommand struct {
	operatorFlags
	File string `arg:"" help:"Configuration file, or - for the standard input."`
	Base string `help:"Revision that the file is based on; the newest one if empty, 0 for the first."`
}

// Run publishes a file. Without --base it replaces the newest revision.
func (c *publishCommand) Run(t *terminal) (err error) {
	var set object.Set
	if set, err = readConfiguration(t, c.File); err != nil {
		return err
	}
	if c.Base == "" {
		if c.Base, err = c.newest(); err != nil {
			return err
		}
	}
	match := ""
	if c.Base != "0" {
		match = strconv.Quote(c.Base)
	}
	var head revision.Head
	if err = c.call(http.MethodPut, "/v1/admin/configuration", object.Encode(set), match, &head); err != nil {
		return err
	}
	if done, err := c.printJSON(t, head); done {
		return err
	}
	_, err = fmt.Fprintf(t.out, "revision %d is accepted: %s\n", head.Revision, head.Hash)
	return err
}

func (c *publishCommand) newest() (string, error) {
	var heads []revision.Head
	if err := c.call(http.MethodGet, "/v1/admin/history", nil, "", &heads); err != nil {
		return "", err
	}
	if len(heads) == 0 {
		return "0", nil
	}
	return strconv.FormatUint(heads[0].Revision, 10), nil
}

type showCommand struct {
	operatorFlags
	Revision string `arg:"" optional:"" help:"Revision to show; the newest one if omitted."`
}

// Run prints a configuration in the format that publish accepts.
func (c *showCommand) Run(t *terminal) error {
	path := "/v1/admin/configuration"
	if c.Revision != "" {
		path += "/" + c.Revision
	}
	var published admin.Published
	if err := c.call(http.MethodGet, path, nil, "", &published); err != nil {
		return err
	}
	if done, err := c.printJSON(t, published); done {
		return err
	}
	_, err := t.out.Write(object.Encode(published.Configuration))
	return err
}

type diffCommand struct {
	operatorFlags
	File string `arg:"" help:"Configuration file, or - for the standard input."`
}

// Run prints the objects that publishing a file would change.
func (c *diffCommand) Run(t *terminal) (err error) {
	var set object.Set
	if set, err = readConfiguration(t, c.File); err != nil {
		return err
	}
	var published admin.Published
	if err = c.call(http.MethodGet, "/v1/admin/configuration", nil, "", &published); err != nil {
		return err
	}
	changes := object.Diff(published.Configuration, set)
	if done, err := c.printJSON(t, changes); done {
		return err
	}
	for _, change := range changes {
		fmt.Fprintf(t.out, "%s\n  - %s\n  + %s\n", change.Path, change.Before, change.After)
	}
	return nil
}

type historyCommand struct {
	operatorFlags
}

// Run prints the newest revisions.
func (c *historyCommand) Run(t *terminal) error {
	var heads []revision.Head
	if err := c.call(http.MethodGet, "/v1/admin/history", nil, "", &heads); err != nil {
		return err
	}
	if done, err := c.printJSON(t, heads); done {
		return err
	}
	table := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tPUBLISHED\tBY\tHASH")
	for _, head := range heads {
		fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\n", head.Revision, head.PublishedAt.Format(time.RFC3339), head.Publisher, head.Hash)
	}
	return table.Flush()
}

type statusCommand struct {
	operatorFlags
}

// Run prints one VM's view of the system.
func (c *statusCommand) Run(t *terminal) error {
	var status admin.Status
	if err := c.call(http.MethodGet, "/v1/admin/status", nil, "", &status); err != nil {
		return err
	}
	if done, err := c.printJSON(t, status); done {
		return err
	}
	fmt.Fprintf(t.out, "VM %s, revision %d, accepting %v, %d generations run, %d are kept\n\n", status.VM, status.Revision, status.Accepting, status.ActiveGenerations, status.KeptGenerations)
	table := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tSTATE\tFAILURE DOMAIN\tADDRESS")
	for _, member := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", member.ID, member.State, member.FailureDomain, member.CallerAddress)
	}
	fmt.Fprintln(table, "\nBACKEND SERVER\tSTATE\tIN FLIGHT\tADDRESS")
	for _, server := range status.BackendServers {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", server.Name, server.State, server.InFlight, server.Address)
	}
	return table.Flush()
}

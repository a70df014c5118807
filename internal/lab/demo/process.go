package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// startLimit bounds the wait for a process to answer.
	startLimit = 10 * time.Second
	// stopLimit is how long a process may take after SIGTERM.
	stopLimit = 3 * time.Second
	// callLimit bounds one call of a process, which may be paused.
	callLimit = 3 * time.Second
)

// caller is what the runner calls the processes with.
var caller = &http.Client{Timeout: callLimit}

// process is one started process, with its log in a file.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

// start runs a program with some flags. cores, when above 0, bounds how many
// cores it uses at once.
func start(logs, name string, cores int, program string, arguments ...string) (p *process, err error) {
	var log *os.File
	if log, err = os.Create(filepath.Join(logs, name+".log")); err != nil {
		return nil, errors.Trace(err)
	}
	command := exec.Command(program, arguments...)
	if cores > 0 {
		command.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", cores))
	}
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // None outlives the runner.
	if err = command.Start(); err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	p = &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // How it ended is in its log.
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // One that has ended needs no signal.
}

// kill ends the process at once, as a failing VM does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the process to end, and ends it if it does not.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		p.kill()
	}
}

// waitFor asks a URL until it answers with success.
func waitFor(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Trace(err)
		}
		response, err := caller.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				return nil
			}
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-ctx.Done():
			return errors.Errorf("%s does not answer", url)
		}
	}
}

// put sends a body and wants success.
func put(url string, body []byte, header map[string]string) (err error) {
	var request *http.Request
	if request, err = http.NewRequest(http.MethodPut, url, bytes.NewReader(body)); err != nil {
		return errors.Trace(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	var response *http.Response
	if response, err = caller.Do(request); err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		reply, _ := io.ReadAll(response.Body) // Only for the error's text.
		return errors.Errorf("%s: %s: %s", url, response.Status, reply)
	}
	return nil
}

// get reads a body and wants success.
func get(url string) (body []byte, err error) {
	var response *http.Response
	if response, err = caller.Get(url); err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if body, err = io.ReadAll(response.Body); err != nil {
		return nil, errors.Trace(err)
	}
	if response.StatusCode/100 != 2 {
		return nil, errors.Errorf("%s: %s", url, fmt.Sprint(response.Status))
	}
	return body, nil
}

// Usage is what a process has used of the machine.
type Usage struct {
	CPU      time.Duration
	Resident int64 // Bytes.
}

// clockTick is the unit of the processor times in /proc.
const clockTick = 10 * time.Millisecond

// usage reads /proc. An ended process has used nothing.
func (p *process) usage() (used Usage) {
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}
	}
	// The fields after the name, which is in parentheses and may have blanks.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[userField]+" "+fields[systemField]+" "+fields[residentField], &user, &system, &pages); err != nil {
		return Usage{}
	}
	return Usage{CPU: time.Duration(user+system) * clockTick, Resident: pages * int64(os.Getpagesize())}
}

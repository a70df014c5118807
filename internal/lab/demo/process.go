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
	// startTimeout bounds the wait for a new process to answer.
	startTimeout = 10 * time.Second
	// stopTimeout bounds the time from SIGTERM to the exit of a process.
	stopTimeout = 3 * time.Second
	// callTimeout bounds one HTTP call to a process, which may be paused.
	callTimeout = 3 * time.Second
)

// httpClient calls the started processes.
var httpClient = &http.Client{Timeout: callTimeout}

// process is a started child process that logs to a file.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

// start runs a program with the given arguments. If cores is above 0, it limits
// the number of cores that the process uses at a time (GOMAXPROCS).
func start(logDir, name string, cores int, programPath string, arguments ...string) (p *process, err error) {
	var log *os.File
	if log, err = os.Create(filepath.Join(logDir, name+".log")); err != nil {
		return nil, errors.Trace(err)
	}
	command := exec.Command(programPath, arguments...)
	if cores > 0 {
		command.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", cores))
	}
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // No process outlives its parent.
	if err = command.Start(); err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	p = &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // The log shows how the process ended.
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // Fails only for a process that has ended.
}

// kill sends SIGKILL, as in a crash, and waits for the exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM, and kills the process if it does not exit within
// stopTimeout.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// waitUntilOK polls a URL until it answers with a 2xx status.
func waitUntilOK(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Trace(err)
		}
		response, err := httpClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				return nil
			}
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-ctx.Done():
			return errors.Errorf("%s did not answer with success in time", url)
		}
	}
}

// put sends a body by PUT. A status other than 2xx is an error.
func put(url string, body []byte, header map[string]string) (err error) {
	var request *http.Request
	if request, err = http.NewRequest(http.MethodPut, url, bytes.NewReader(body)); err != nil {
		return errors.Trace(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	var response *http.Response
	if response, err = httpClient.Do(request); err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		reply, _ := io.ReadAll(response.Body) // Only used in the error message.
		return errors.Errorf("%s: %s: %s", url, response.Status, reply)
	}
	return nil
}

// get returns the body at a URL. A status other than 2xx is an error.
func get(url string) (body []byte, err error) {
	var response *http.Response
	if response, err = httpClient.Get(url); err != nil {
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

// Usage is the resource usage of a process.
type Usage struct {
	CPU           time.Duration
	ResidentBytes int64
}

// clockTick is the unit of the CPU times in /proc (100 per second).
const clockTick = 10 * time.Millisecond

// usage reads the usage from /proc. It is zero for a process that has ended.
func (p *process) usage() (used Usage) {
	procDir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(procDir + "stat")
	if err != nil {
		return Usage{}
	}
	// The fields follow the command name, which is in parentheses and may contain
	// spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[userField]+" "+fields[systemField]+" "+fields[residentField], &user, &system, &pages); err != nil {
		return Usage{}
	}
	return Usage{CPU: time.Duration(user+system) * clockTick, ResidentBytes: pages * int64(os.Getpagesize())}
}

package demo

import (
	"context"
	"encoding/json"
	"os"
	"syscall"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/lab/servicefake"
)

// KillVM kills a VM's process with SIGKILL.
func (s *System) KillVM(index int) {
	s.VMs[index].stopped = true
	s.VMs[index].process.kill()
}

// StopVM stops a VM gracefully with SIGTERM and waits until its process has
// ended.
func (s *System) StopVM(index int) {
	s.VMs[index].process.signal(syscall.SIGTERM)
	<-s.VMs[index].process.done
	s.VMs[index].stopped = true
}

// HangUpVM sends a VM's process SIGHUP.
func (s *System) HangUpVM(index int) {
	s.VMs[index].process.signal(syscall.SIGHUP)
}

// ExitState returns how a VM's process has ended, nil while it runs.
func (s *System) ExitState(index int) *os.ProcessState {
	select {
	case <-s.VMs[index].process.done:
		return s.VMs[index].process.command.ProcessState
	default:
		return nil
	}
}

// PauseVM suspends a VM's process with SIGSTOP.
func (s *System) PauseVM(index int) {
	s.VMs[index].process.signal(syscall.SIGSTOP)
}

// ResumeVM continues a paused VM's process with SIGCONT.
func (s *System) ResumeVM(index int) {
	s.VMs[index].process.signal(syscall.SIGCONT)
}

// KillEngine kills an engine's process with SIGKILL and keeps its statistics.
func (s *System) KillEngine(index int) {
	engine := s.Engines[index]
	engine.previousStats = engine.stats()
	engine.killed = true
	engine.process.kill()
}

// PauseEngine suspends an engine's process with SIGSTOP.
func (s *System) PauseEngine(index int) {
	s.Engines[index].process.signal(syscall.SIGSTOP)
}

// ResumeEngine continues a paused engine's process with SIGCONT.
func (s *System) ResumeEngine(index int) {
	s.Engines[index].process.signal(syscall.SIGCONT)
}

// SetEngineFaults replaces the faults that a fake engine injects.
func (s *System) SetEngineFaults(index int, faults enginefake.Faults) error {
	return s.putFaults("http://"+s.Engines[index].listenAddress, faults)
}

// SetServiceFaults replaces the faults that a fake service injects.
func (s *System) SetServiceFaults(index int, faults servicefake.Faults) error {
	return s.putFaults(s.ServiceURLs[index], faults)
}

// SetPlatformFaults replaces the faults that the fake platform injects.
func (s *System) SetPlatformFaults(faults platformfake.Faults) error {
	return s.putFaults(s.PlatformURL, faults)
}

func (s *System) putFaults(url string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(put(url+"/faults", body, nil))
}

// RestartEngine starts a new process for an engine at the same address, without
// the state of the previous process.
func (s *System) RestartEngine(ctx context.Context, index int) error {
	return s.launchEngine(ctx, s.Engines[index])
}

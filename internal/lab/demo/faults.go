package demo

import (
	"context"
	"encoding/json"
	"syscall"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/lab/servicefake"
)

// KillVM ends a VM's process without notice.
func (s *System) KillVM(index int) {
	s.VMs[index].gone = true
	s.VMs[index].process.kill()
}

// StopVM asks a VM to stop gracefully and waits until it has.
func (s *System) StopVM(index int) {
	s.VMs[index].process.signal(syscall.SIGTERM)
	<-s.VMs[index].process.done
	s.VMs[index].gone = true
}

// PauseVM stops a VM's process where it is; ResumeVM lets it go on.
func (s *System) PauseVM(index int) {
	s.VMs[index].process.signal(syscall.SIGSTOP)
}

// ResumeVM lets a paused VM go on.
func (s *System) ResumeVM(index int) {
	s.VMs[index].process.signal(syscall.SIGCONT)
}

// KillEngine ends an engine's process without notice.
func (s *System) KillEngine(index int) {
	engine := s.Engines[index]
	engine.last = engine.stats()
	engine.dead = true
	engine.process.kill()
}

// PauseEngine stops an engine's process where it is.
func (s *System) PauseEngine(index int) {
	s.Engines[index].process.signal(syscall.SIGSTOP)
}

// ResumeEngine lets a paused engine go on.
func (s *System) ResumeEngine(index int) {
	s.Engines[index].process.signal(syscall.SIGCONT)
}

// EngineFaults tells an engine what to do wrong from now on.
func (s *System) EngineFaults(index int, faults enginefake.Faults) error {
	return s.faults("http://"+s.Engines[index].listen, faults)
}

// ServiceFaults tells a plain service what to do wrong from now on.
func (s *System) ServiceFaults(index int, faults servicefake.Faults) error {
	return s.faults(s.ServiceURLs[index], faults)
}

// PlatformFaults tells the platform what to do wrong from now on.
func (s *System) PlatformFaults(faults platformfake.Faults) error {
	return s.faults(s.Platform, faults)
}

func (s *System) faults(url string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(put(url+"/faults", body, nil))
}

// RestartEngine starts an engine again at its address, with nothing in memory.
func (s *System) RestartEngine(ctx context.Context, index int) error {
	return s.run(ctx, s.Engines[index])
}

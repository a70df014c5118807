// Package periodic runs a function at a fixed interval as a supervised service.
//
// # Usage
//
//	supervisor.Add(periodic.New("limits", time.Second, func(ctx context.Context) { ... }))
package periodic

import (
	"context"
	"time"
)

// Service calls Do once per Interval until its context ends. A call that takes longer
// than the interval delays the next one.
type Service struct {
	Name     string
	Interval time.Duration
	Do       func(ctx context.Context)
}

// New creates a service. It is idle until Serve is called.
func New(name string, interval time.Duration, do func(ctx context.Context)) *Service {
	return &Service{Name: name, Interval: interval, Do: do}
}

// String names the service in the supervisor's messages.
func (s *Service) String() string {
	return s.Name
}

// Serve runs until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.Do(ctx)
		}
	}
}

package spread

import (
	"context"
	"time"
)

// HasConfiguration reports whether an encoded message contains a configuration.
func HasConfiguration(body []byte) bool {
	m, err := decode(body)
	return err == nil && m.Config != nil
}

// Pause holds up the event loop, as a pause of the process does.
func (s *Spread) Pause(length time.Duration) {
	s.do(context.Background(), func(*state) { time.Sleep(length) })
}

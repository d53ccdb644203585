package events

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestWriterNeverWaits checks that a reader which takes nothing holds up nobody, and that it is told what it missed:
// by the ring alone what it could not hold, by the whole writer what was over an event's limit.
func TestWriterNeverWaits(t *testing.T) {
	cases := map[string]struct {
		open func(out io.Writer) (io.Writer, func())
		want string
	}{
		"ring": {func(out io.Writer) (io.Writer, func()) {
			ring := newRing(out)
			return ring, func() { _ = ring.Close() }
		}, LinesDropped.Name},
		"writer": {func(out io.Writer) (io.Writer, func()) {
			w := NewWriter(out)
			return w, w.Close
		}, LinesSuppressed.Name},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, pipe := io.Pipe()
			w, end := c.open(pipe)
			log := zerolog.New(w)
			const lines = 3 * backlog
			done := make(chan struct{})
			go func() {
				defer close(done)
				for i := range lines {
					NodeStarted.Log(&log).Int("line", i).Send()
				}
			}()
			select {
			case <-done:
			case <-time.After(30 * time.Second):
				t.Fatal("got lines that wait for a reader, want none")
			}
			var got bytes.Buffer
			read := make(chan struct{})
			go func() {
				defer close(read)
				_, _ = io.Copy(&got, r)
			}()
			end()
			_ = pipe.Close()
			<-read
			if !strings.Contains(got.String(), c.want) {
				t.Errorf("log: got no %q, want one", c.want)
			}
		})
	}
}

package events

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestWriterNeverWaits checks that a reader which takes nothing holds up nobody, and that it is told what it missed.
func TestWriterNeverWaits(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewWriter(pipe)
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
	w.Close()
	_ = pipe.Close()
	<-read
	if !strings.Contains(got.String(), LinesDropped.Name) {
		t.Errorf("log: got no word of dropped lines, want one")
	}
}

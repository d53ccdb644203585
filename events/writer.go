package events

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

// backlog is how many log lines may wait for a reader that lags: about 2 MB of lines of 250 bytes.
const backlog = 8192

// Writer takes log lines within each event's limit, without ever waiting for whoever reads them. What was left out, and
// what a reader that lags too far has missed, is counted and told on lines of their own.
type Writer struct {
	*LimitedWriter
	ring diode.Writer
}

// NewWriter returns a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	ring := newRing(out)
	return &Writer{LimitedWriter: NewLimitedWriter(ring, time.Now), ring: ring}
}

// newRing returns the buffer between who writes lines and who reads them.
func newRing(out io.Writer) diode.Writer {
	return diode.NewWriter(out, backlog, 0, func(missed int) {
		_, _ = fmt.Fprintf(out, `{"level":"warn","event":%d,"name":%q,"count":%d}`+"\n", LinesDropped.Number, LinesDropped.Name, missed)
	})
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	w.Flush()
	_ = w.ring.Close()
}

package events

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

// ringSize is the number of log lines that can be buffered for a slow reader: about 2 MB of lines of 250 bytes.
const ringSize = 8192

// Writer writes log lines within each event's limit, without ever blocking on the reader of the log. Lines that were suppressed
// by a limit, and lines that were dropped because the reader was too slow, are counted and reported in separate lines.
type Writer struct {
	*LimitedWriter
	ring diode.Writer
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	ring := newRing(out)
	return &Writer{LimitedWriter: NewLimitedWriter(ring, time.Now), ring: ring}
}

// newRing returns the ring buffer in front of out, which drops lines when it is full and reports their number.
func newRing(out io.Writer) diode.Writer {
	return diode.NewWriter(out, ringSize, 0, func(dropped int) {
		_, _ = fmt.Fprintf(out, `{"level":"warn","event":%d,"name":%q,"count":%d}`+"\n", LinesDropped.Number, LinesDropped.Name, dropped)
	})
}

// Close writes the buffered lines and closes the writer.
func (w *Writer) Close() {
	w.Flush()
	_ = w.ring.Close()
}

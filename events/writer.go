package events

import (
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// backlog is how many log lines may wait for a reader that lags: about 2 MB of lines of 250 bytes.
const backlog = 8192

// Writer takes log lines without ever waiting for whoever reads them. What a reader that lags too far has missed is
// counted, and told on a line of its own.
type Writer struct {
	diode.Writer
}

// NewWriter returns a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{diode.NewWriter(out, backlog, 0, func(missed int) {
		_, _ = fmt.Fprintf(out, `{"level":"warn","event":%d,"name":%q,"count":%d}`+"\n", LinesDropped.Number, LinesDropped.Name, missed)
	})}
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() { _ = w.Writer.Close() }

package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// Handler answers what peers ask of this node.
type Handler interface {
	// Serve runs a request at the endpoint beside this node and returns how it ended.
	Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink Sink) *peerpb.End
	// Settle notes how a claimed request ended elsewhere.
	Settle(s *peerpb.Settle)
	// Deltas returns what leads from the asker's revisions to those in force, in parts that fit a frame.
	Deltas(from table.Revisions) []*peerpb.Delta
}

const firstFrameTimeout = 5 * time.Second

func (m *Manager) serveStream(stream net.Conn, remote string) {
	defer func() { _ = stream.Close() }()
	r := NewFrameReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	f, err := r.Read()
	if err != nil {
		m.garbled(remote, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Hello:
		m.serveControl(stream, r, k.Hello)
	default:
		m.working.Add()
		defer m.working.Done()
		m.serveWork(stream, r, f, remote)
	}
}

func (m *Manager) serveWork(stream net.Conn, r FrameReader, f *peerpb.Frame, remote string) {
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Dispatch:
		m.serveDispatch(stream, r, k.Dispatch)
	case *peerpb.Frame_Pull:
		m.servePull(stream, k.Pull)
	case *peerpb.Frame_Settle:
		m.handler.Settle(k.Settle)
		_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}})
	default:
		m.garbled(remote, fault.New(fault.Protocol, "stream", "unexpected first message"))
	}
}

func (m *Manager) garbled(remote string, err error) {
	if fault.CodeOf(err) == fault.Protocol {
		events.PeerGarbled.Log(m.log).Str("peer", remote).Err(err).Send()
	}
}

func (m *Manager) servePull(stream net.Conn, p *peerpb.Pull) {
	for _, d := range m.handler.Deltas(revisionsOf(p.GetFrom())) {
		if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Delta{Delta: d}}); err != nil {
			return
		}
	}
}

func (m *Manager) serveDispatch(stream net.Conn, r FrameReader, d *peerpb.Dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.GetBudgetMicros())*time.Microsecond)
	defer cancel()
	pr, pw := io.Pipe()
	defer func() { _ = pr.Close() }()
	go func() {
		// The ingress closes its side when it gives up; its body ends with a last piece before that.
		_ = pw.CloseWithError(receiveBody(r, pw, d.GetBodyLength()))
		cancel()
	}()
	sink := newStreamSink(stream)
	end := m.handler.Serve(ctx, d, pr, sink)
	sink.end(end)
}

// receiveBody copies the body to w, then waits for the stream's end and returns why it ended.
func receiveBody(r FrameReader, w *io.PipeWriter, length int64) error {
	open := length != 0
	for {
		f, err := r.Read()
		if err != nil {
			return fault.Wrap(err, fault.Canceled, "stream", "caller went away")
		}
		data := f.GetData()
		if data == nil || !open {
			return fault.New(fault.Protocol, "stream", "unexpected message in a body")
		}
		if _, err := w.Write(data.GetBytes()); err != nil {
			open = !data.GetLast()
			continue
		}
		if data.GetLast() {
			open = false
			_ = w.Close()
		}
	}
}

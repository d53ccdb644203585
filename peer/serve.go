package peer

import (
	"context"
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// Handler serves the requests and messages of peers.
type Handler interface {
	// Serve runs a request at the endpoint beside this node and returns how it ended.
	Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink Sink) *peerpb.End
	// Fetch returns the end of an exchange that was dispatched here, once it has ended, and passes its answer to sink. If
	// the exchange was not dispatched before the call, it never runs.
	Fetch(ctx context.Context, exchange uint64, sink Sink) *peerpb.End
	// Settle records, at an owner of an idempotency key, how the request that claimed the key ended on another node.
	Settle(s *peerpb.Settle)
	// HandlePoisonReport handles a report that an endpoint crashed while it ran some requests, or that requests ran well. It
	// returns a report to answer with, nil for none.
	HandlePoisonReport(report *peerpb.Ended) *peerpb.Ended
	// Confirm returns the newest version of the platform's configuration, and false if it cannot be determined now.
	Confirm(ctx context.Context) (config uint64, known bool)
	// GrantAllotment grants up to want requests of a customer's rate limit; if it grants none, wait is the delay after
	// which there should be one.
	GrantAllotment(customer string, want int) (granted int, wait time.Duration)
	// Deltas returns the changes from the peer's revisions to the active ones, in parts that each fit a frame;
	// changesOnly is set if the peer accepts the changes of hosts without the full list.
	Deltas(from table.Revisions, changesOnly bool) []*peerpb.Delta
}

const (
	// firstFrameTimeout bounds the wait for the first frame of a new stream.
	firstFrameTimeout = 5 * time.Second
	// grantTimeout is how long a slot is held for an ingress that does not answer a grant: several round trips between
	// regions (20 ms one way), and little compared with the time for which a request occupies a slot (50 to 300 ms).
	grantTimeout = 150 * time.Millisecond
	// maxAllotmentRequest bounds the allotment that one message may request; it exceeds the requests that a customer sends
	// through one node within the allotment duration.
	maxAllotmentRequest = 10000
	// fetchTimeout bounds how long a peer may wait here for the answer of an exchange.
	fetchTimeout = 30 * time.Second
)

// serveStream serves one stream according to its first frame.
func (m *Manager) serveStream(stream net.Conn, remote string) {
	defer func() { _ = stream.Close() }()
	r := NewFrameReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	f, err := r.Read()
	if err != nil {
		m.logProtocolError(remote, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Hello:
		m.serveControl(stream, r, k.Hello)
	default:
		m.requests.Add()
		defer m.requests.Done()
		m.serveRequest(stream, r, f, remote)
	}
}

// serveRequest serves a stream other than the control stream.
func (m *Manager) serveRequest(stream net.Conn, r FrameReader, f *peerpb.Frame, remote string) {
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Dispatch:
		m.serveDispatch(stream, r, k.Dispatch)
	case *peerpb.Frame_Fetch:
		m.serveFetch(stream, r, k.Fetch)
	case *peerpb.Frame_Relay:
		m.serveRelay(stream, r, k.Relay)
	case *peerpb.Frame_Pull:
		m.servePull(stream, k.Pull)
	case *peerpb.Frame_Confirm:
		m.serveConfirm(stream)
	case *peerpb.Frame_Borrow:
		granted, wait := m.handler.GrantAllotment(k.Borrow.GetCustomer(), int(min(k.Borrow.GetWant(), maxAllotmentRequest)))
		lent := &peerpb.Lent{Granted: uint32(granted), WaitMicros: wait.Microseconds()} //nolint:gosec // bounded above
		_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Lent{Lent: lent}})
	case *peerpb.Frame_Ended:
		if answer := m.handler.HandlePoisonReport(k.Ended); answer != nil {
			_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Ended{Ended: answer}})
			return
		}
		_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}})
	case *peerpb.Frame_Settle:
		m.handler.Settle(k.Settle)
		_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}})
	default:
		m.logProtocolError(remote, fault.New(fault.Protocol, "stream", "unexpected first frame on the stream"))
	}
}

// logProtocolError logs an error in what a peer sent. Other errors are failures of the link, which has events of its own.
func (m *Manager) logProtocolError(remote string, err error) {
	if fault.CodeOf(err) == fault.Protocol {
		events.PeerGarbled.Log(m.log).Str("peer", remote).Err(err).Send()
	}
}

// confirmTimeout bounds the serving of a Confirm request: the requesting peer waits no longer than this.
const confirmTimeout = 250 * time.Millisecond

// serveConfirm answers with the newest version of the platform's configuration.
func (m *Manager) serveConfirm(stream net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	config, known := m.handler.Confirm(ctx)
	answer := &peerpb.Confirmed{Known: known, Config: config}
	_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Confirmed{Confirmed: answer}})
}

// knownSources returns the number of sources that the peer which sent a pull knows; it could not decode the rows of
// others. An older peer sends no count but a flag, or neither.
func knownSources(p *peerpb.Pull) int {
	switch {
	case p.GetPlanes() > 0:
		return int(min(p.GetPlanes(), uint32(table.SourceCount)))
	case p.GetFatal():
		return int(table.SourcePoison) + 1
	}
	return int(table.SourceHosts) + 1
}

// servePull sends the changes that a peer lacks. The sources that it does not know get the highest revision, for which
// there are no changes.
func (m *Manager) servePull(stream net.Conn, p *peerpb.Pull) {
	from := revisionsOf(p.GetFrom())
	for source := knownSources(p); source < table.SourceCount; source++ {
		from[source] = math.MaxUint64
	}
	for _, d := range m.handler.Deltas(from, p.GetHostChanges()) {
		if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Delta{Delta: d}}); err != nil {
			return
		}
	}
}

// egressExchange is the egress's side of one exchange.
type egressExchange struct {
	*streamSink
	// offer is the dispatch as received, completed by the Go frame.
	offer *peerpb.Dispatch
	// goFrames receives the ingress's Go frame, which lets the request run; streamEnded is closed when the stream has
	// ended.
	goFrames    chan *peerpb.Go
	streamEnded chan struct{}
	canceled    atomic.Bool
	// ctx is the exchange's context; credit is how many more bytes of the answer's body may be sent, or unlimited;
	// creditAdded wakes the sender that waits for credit.
	ctx         context.Context //nolint:containedctx // one exchange's life
	credit      atomic.Int64
	creditAdded chan struct{}
	// cancel cancels ctx.
	cancel context.CancelFunc
}

// YieldSlot implements SlotYielder. An answer that can be run again is of no use to an ingress whose link is gone: it is
// not asked for over another link.
func (v *egressExchange) YieldSlot() {
	select {
	case <-v.streamEnded:
		if v.offer.GetRepeatable() {
			v.cancel()
		}
	default:
		v.streamSink.YieldSlot()
	}
}

// Data implements Sink; it waits until the caller has read enough of the earlier data.
func (v *egressExchange) Data(b []byte, last bool) error {
	for len(b) > 0 {
		n, err := v.awaitCredit(len(b))
		if err != nil {
			return err
		}
		if err := v.streamSink.Data(b[:n], last && n == len(b)); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// awaitCredit waits for credit and uses it up; it returns how many of want bytes may be sent, at least one.
func (v *egressExchange) awaitCredit(want int) (int, error) {
	for {
		credit := v.credit.Load()
		if credit == unlimited {
			return want, nil
		}
		if n := min(int64(want), credit); n > 0 {
			v.credit.Add(-n)
			return int(n), nil
		}
		select {
		case <-v.creditAdded:
		case <-v.streamEnded:
			return 0, fault.New(fault.LinkLost, "answer", "link broke before the caller read the answer")
		case <-v.ctx.Done():
			return 0, fault.Wrap(v.ctx.Err(), ctxCode(v.ctx), "answer", "caller did not read the answer in time")
		}
	}
}

// addCredit allows the given number of further bytes of the answer to be sent.
func (v *egressExchange) addCredit(bytes uint32) {
	if v.credit.Load() == unlimited {
		return
	}
	v.credit.Add(int64(bytes))
	select {
	case v.creditAdded <- struct{}{}:
	default:
	}
}

// serveDispatch serves one request or offer.
func (m *Manager) serveDispatch(stream net.Conn, r FrameReader, d *peerpb.Dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.GetBudgetMicros())*time.Microsecond)
	defer cancel()
	pr, pw := io.Pipe()
	defer func() { _ = pr.Close() }()
	v := &egressExchange{
		streamSink: newStreamSink(stream), offer: d, goFrames: make(chan *peerpb.Go, 1), streamEnded: make(chan struct{}),
		ctx: ctx, creditAdded: make(chan struct{}, 1), cancel: cancel,
	}
	v.credit.Store(unlimited)
	if credit := d.GetCredit(); credit > 0 {
		v.credit.Store(int64(credit))
	}
	go func() {
		// The ingress closes its side when it gives up; a complete body ends before that, with a chunk marked as the last.
		_ = pw.CloseWithError(v.receive(r, pw, d.GetBodyLength()))
		close(v.streamEnded)
		// A request that was dispatched through an offer keeps running when the link breaks: its answer can be fetched.
		if d.GetExchange() == 0 || v.canceled.Load() {
			cancel()
		}
	}()
	var sink Sink = noPermitSink{v}
	if d.GetExchange() != 0 {
		sink = v
	}
	end := m.handler.Serve(ctx, d, pr, sink)
	v.end(end)
}

// unlimited is the credit of an exchange whose ingress does not use flow control.
const unlimited = -1

// noPermitSink hides the Permitter methods of the sink of an exchange that is not an offer, so that its request runs
// without a grant.
type noPermitSink struct {
	Sink
}

// Queued implements Permitter.
func (v *egressExchange) Queued() {
	_ = v.put(&peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}}, false)
}

// Permit implements Permitter.
//
// Invariant: it returns true only after the ingress's Go frame, and once it has returned false a Go frame has no effect.
func (v *egressExchange) Permit(ctx context.Context, load *peerpb.Load, due time.Duration) bool {
	grant := &peerpb.Grant{Load: load, DueMicros: due.Microseconds(), Credits: v.credit.Load() != unlimited}
	if v.put(&peerpb.Frame{Kind: &peerpb.Frame_Grant{Grant: grant}}, false) != nil {
		return false
	}
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case rest := <-v.goFrames:
		complete(v.offer, rest)
		return true
	case <-v.streamEnded:
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// receive reads the ingress's frames and writes the request's body to w; it returns why the stream ended.
func (v *egressExchange) receive(r FrameReader, w *io.PipeWriter, length int64) error {
	open := length != 0
	for {
		f, err := r.Read()
		if err != nil {
			return fault.Wrap(err, fault.Canceled, "stream", "caller went away")
		}
		switch k := f.GetKind().(type) {
		case *peerpb.Frame_Go:
			select {
			case v.goFrames <- k.Go:
			default:
				return fault.New(fault.Protocol, "stream", "request dispatched twice")
			}
		case *peerpb.Frame_Credit:
			v.addCredit(k.Credit.GetBytes())
		case *peerpb.Frame_Cancel:
			v.canceled.Store(true)
			return fault.New(fault.Canceled, "stream", "caller went away")
		case *peerpb.Frame_Data:
			if !open {
				return fault.New(fault.Protocol, "stream", "data frame for a request without a body, or after the end of its body")
			}
			if _, err := w.Write(k.Data.GetBytes()); err != nil {
				// The body has no reader any more; the rest of it is dropped, to reach the frames that follow it.
				open = !k.Data.GetLast()
				continue
			}
			if k.Data.GetLast() {
				open = false
				_ = w.Close()
			}
		default:
			return fault.New(fault.Protocol, "stream", "unexpected frame in an exchange")
		}
	}
}

// serveFetch sends the end of an exchange, and its answer if there is one; it stops when the peer closes its side.
func (m *Manager) serveFetch(stream net.Conn, r FrameReader, f *peerpb.Fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	go func() {
		_, _ = r.Read()
		cancel()
	}()
	sink := newStreamSink(stream)
	_ = sink.put(&peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}}, false)
	sink.end(m.handler.Fetch(ctx, f.GetExchange(), sink))
}

// serveRelay connects a stream to one on the link to another peer, for two nodes that cannot reach each other.
func (m *Manager) serveRelay(stream net.Conn, r FrameReader, to *peerpb.Relay) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	s, err := m.Session(ctx, to.GetAddress())
	if err != nil {
		return
	}
	onward, err := s.openStream()
	if err != nil {
		return
	}
	defer abandon(onward)
	defer context.AfterFunc(ctx, func() { abandon(onward) })()
	go func() {
		_, _ = io.Copy(onward, r.r)
		abandon(onward)
	}()
	_, _ = io.Copy(stream, onward)
}

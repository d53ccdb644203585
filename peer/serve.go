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

// Handler answers what peers ask of this node.
type Handler interface {
	// Serve runs a request at the endpoint beside this node and returns how it ended.
	Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink Sink) *peerpb.End
	// Fetch returns how an exchange that was handed over here ended, once it has; one that was not never runs.
	Fetch(ctx context.Context, exchange uint64, sink Sink) *peerpb.End
	// Settle notes how a claimed request ended elsewhere.
	Settle(s *peerpb.Settle)
	// Ended takes the word that an endpoint ended.
	HandlePoisonReport(word *peerpb.Ended)
	// Confirm tells the newest version of the platform's configuration; false when that cannot be said now.
	Confirm(ctx context.Context) (config uint64, known bool)
	// Lend lends some requests of a customer's limit, or tells when there should be one.
	GrantAllotment(customer string, want int) (granted int, wait time.Duration)
	// Deltas returns what leads from the asker's revisions to those in force, in parts that fit a frame; changesOnly tells
	// whether the asker takes the hosts' changes alone.
	Deltas(from table.Revisions, changesOnly bool) []*peerpb.Delta
}

const (
	// firstFrameTimeout is how long a new stream may say nothing.
	firstFrameTimeout = 5 * time.Second
	// grantLife is how long a slot is held for an ingress that does not answer: several round trips between regions
	// (20 ms one way), and little beside the work of a slot (50 to 300 ms).
	grantLife = 150 * time.Millisecond
	// mostBorrowed bounds what one question may ask for: a customer's requests at one node within a term, with room.
	mostBorrowed = 10000
	// fetchLimit bounds how long a peer may wait here for an answer.
	fetchLimit = 30 * time.Second
)

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
	case *peerpb.Frame_Fetch:
		m.serveFetch(stream, r, k.Fetch)
	case *peerpb.Frame_Relay:
		m.serveRelay(stream, r, k.Relay)
	case *peerpb.Frame_Pull:
		m.servePull(stream, k.Pull)
	case *peerpb.Frame_Confirm:
		m.serveConfirm(stream)
	case *peerpb.Frame_Borrow:
		granted, wait := m.handler.GrantAllotment(k.Borrow.GetCustomer(), int(min(k.Borrow.GetWant(), mostBorrowed)))
		lent := &peerpb.Lent{Granted: uint32(granted), WaitMicros: wait.Microseconds()} //nolint:gosec // bounded above
		_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Lent{Lent: lent}})
	case *peerpb.Frame_Ended:
		m.handler.HandlePoisonReport(k.Ended)
		_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}})
	case *peerpb.Frame_Settle:
		m.handler.Settle(k.Settle)
		_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}})
	default:
		m.garbled(remote, fault.New(fault.Protocol, "stream", "unexpected first message"))
	}
}

// garbled logs bytes of a peer that make no sense; a broken link is told by the link itself.
func (m *Manager) garbled(remote string, err error) {
	if fault.CodeOf(err) == fault.Protocol {
		events.PeerGarbled.Log(m.log).Str("peer", remote).Err(err).Send()
	}
}

// confirmServe bounds a peer's question for the newest configuration: it waits no longer itself.
const confirmServe = 250 * time.Millisecond

func (m *Manager) serveConfirm(stream net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmServe)
	defer cancel()
	config, known := m.handler.Confirm(ctx)
	answer := &peerpb.Confirmed{Known: known, Config: config}
	_ = WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Confirmed{Confirmed: answer}})
}

// knownPlanes is how many planes the asker of a pull knows; of others it could read nothing.
func knownPlanes(p *peerpb.Pull) int {
	switch {
	case p.GetPlanes() > 0:
		return int(min(p.GetPlanes(), uint32(table.SourceCount)))
	case p.GetFatal():
		return int(table.SourcePoison) + 1
	}
	return int(table.SourceHosts) + 1
}

func (m *Manager) servePull(stream net.Conn, p *peerpb.Pull) {
	from := revisionsOf(p.GetFrom())
	for plane := knownPlanes(p); plane < table.SourceCount; plane++ {
		from[plane] = math.MaxUint64
	}
	for _, d := range m.handler.Deltas(from, p.GetHostChanges()) {
		if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Delta{Delta: d}}); err != nil {
			return
		}
	}
}

// serving is the egress's side of one exchange.
type serving struct {
	*streamSink
	// offer is the dispatch as it came, completed by the hand-over.
	offer *peerpb.Dispatch
	// goes takes the ingress's word that the request may run, gone is closed when the stream has ended.
	goes     chan *peerpb.Go
	gone     chan struct{}
	canceled atomic.Bool
	// ctx is the exchange's; credit is how much more of the answer's body may be sent, or unlimited; more wakes who waits for it.
	ctx    context.Context //nolint:containedctx // one exchange's life
	credit atomic.Int64
	more   chan struct{}
}

// Data implements Sink: it waits until the caller has read enough of what was sent before.
func (v *serving) Data(b []byte, last bool) error {
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

// awaitCredit returns how much of so many bytes may be sent, at least one.
func (v *serving) awaitCredit(want int) (int, error) {
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
		case <-v.more:
		case <-v.gone:
			return 0, fault.New(fault.LinkLost, "answer", "link broke before its caller read it")
		case <-v.ctx.Done():
			return 0, fault.Wrap(v.ctx.Err(), ctxCode(v.ctx), "answer", "caller has not read it in time")
		}
	}
}

// grant lets more of the answer be sent.
func (v *serving) grant(bytes uint32) {
	if v.credit.Load() == unlimited {
		return
	}
	v.credit.Add(int64(bytes))
	select {
	case v.more <- struct{}{}:
	default:
	}
}

func (m *Manager) serveDispatch(stream net.Conn, r FrameReader, d *peerpb.Dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.GetBudgetMicros())*time.Microsecond)
	defer cancel()
	pr, pw := io.Pipe()
	defer func() { _ = pr.Close() }()
	v := &serving{
		streamSink: newStreamSink(stream), offer: d, goes: make(chan *peerpb.Go, 1), gone: make(chan struct{}),
		ctx: ctx, more: make(chan struct{}, 1),
	}
	v.credit.Store(unlimited)
	if credit := d.GetCredit(); credit > 0 {
		v.credit.Store(int64(credit))
	}
	go func() {
		// The ingress closes its side when it gives up; its body ends with a last piece before that.
		_ = pw.CloseWithError(v.receive(r, pw, d.GetBodyLength()))
		close(v.gone)
		// What was handed over by an offer runs on when the link breaks: its answer can be fetched.
		if d.GetExchange() == 0 || v.canceled.Load() {
			cancel()
		}
	}()
	var sink Sink = unasked{v}
	if d.GetExchange() != 0 {
		sink = v
	}
	end := m.handler.Serve(ctx, d, pr, sink)
	v.end(end)
}

// unlimited is the credit of an exchange whose ingress grants none.
const unlimited = -1

// unasked is the sink of an exchange whose ingress is not asked once more before the request runs.
type unasked struct {
	Sink
}

// Waiting implements Permitter.
func (v *serving) Queued() {
	_ = v.put(&peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}}, false)
}

// Permit implements Permitter.
//
// Invariant: it returns true only after the ingress's word, and once it has returned false that word changes nothing.
func (v *serving) Permit(ctx context.Context, load *peerpb.Load, due time.Duration) bool {
	grant := &peerpb.Grant{Load: load, DueMicros: due.Microseconds(), Credits: v.credit.Load() != unlimited}
	if v.put(&peerpb.Frame{Kind: &peerpb.Frame_Grant{Grant: grant}}, false) != nil {
		return false
	}
	timer := time.NewTimer(grantLife)
	defer timer.Stop()
	select {
	case rest := <-v.goes:
		complete(v.offer, rest)
		return true
	case <-v.gone:
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// receive reads the ingress's words and body, then waits for the stream's end and returns why it ended.
func (v *serving) receive(r FrameReader, w *io.PipeWriter, length int64) error {
	open := length != 0
	for {
		f, err := r.Read()
		if err != nil {
			return fault.Wrap(err, fault.Canceled, "stream", "caller went away")
		}
		switch k := f.GetKind().(type) {
		case *peerpb.Frame_Go:
			select {
			case v.goes <- k.Go:
			default:
				return fault.New(fault.Protocol, "stream", "handed over twice")
			}
		case *peerpb.Frame_Credit:
			v.grant(k.Credit.GetBytes())
		case *peerpb.Frame_Cancel:
			v.canceled.Store(true)
			return fault.New(fault.Canceled, "stream", "caller went away")
		case *peerpb.Frame_Data:
			if !open {
				return fault.New(fault.Protocol, "stream", "unexpected message in a body")
			}
			if _, err := w.Write(k.Data.GetBytes()); err != nil {
				// Nobody reads the body any more; what still comes of it is dropped, for the words behind it.
				open = !k.Data.GetLast()
				continue
			}
			if k.Data.GetLast() {
				open = false
				_ = w.Close()
			}
		default:
			return fault.New(fault.Protocol, "stream", "unexpected message in a body")
		}
	}
}

// serveFetch answers how an exchange ended; a peer that closes its side gives up.
func (m *Manager) serveFetch(stream net.Conn, r FrameReader, f *peerpb.Fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
	defer cancel()
	go func() {
		_, _ = r.Read()
		cancel()
	}()
	sink := newStreamSink(stream)
	_ = sink.put(&peerpb.Frame{Kind: &peerpb.Frame_Ack{Ack: &peerpb.Ack{}}}, false)
	sink.end(m.handler.Fetch(ctx, f.GetExchange(), sink))
}

// serveRelay passes a stream on to a peer and back, for two nodes that cannot reach each other.
func (m *Manager) serveRelay(stream net.Conn, r FrameReader, to *peerpb.Relay) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
	defer cancel()
	s, err := m.Session(ctx, to.GetAddress())
	if err != nil {
		return
	}
	onward, err := s.mux.OpenStream()
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

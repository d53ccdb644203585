package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// defaultIdle is how long a kept connection is used again when the endpoint does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off what the endpoint says: its own clock may run out while a request is on its way.
	idleMargin = time.Second
	// mostForeign is how many answers to other requests are passed over before the connection is given up.
	mostForeign = 8
	// mostInformational is how many provisional answers (1xx) are passed over.
	mostInformational = 8
	// maxDiscarded and discardTimeout bound the reading of a body that nobody needs, in bytes and in time.
	maxDiscarded   = 64 << 10
	discardTimeout = 100 * time.Millisecond
)

// Response is an endpoint's answer; Close must follow.
type Response struct {
	*http.Response
	conn *conn
	pool *Pool
	// stop ends the watch that closes the connection when the request's context ends; false when it already has.
	stop func() bool
	// sent is closed once the writing of a long body has ended, with sendErr; nil for a body that was written at once.
	sent    chan struct{}
	sendErr error
	// whole is set once the body was read to its end.
	whole bool
}

// send writes the request; a long body goes on while the answer is read.
func (resp *Response) send(r Request) error {
	var b bytes.Buffer
	writeHead(&b, r)
	if r.Length >= 0 && r.Length <= atOnce {
		if r.Length > 0 {
			if _, err := io.CopyN(&b, r.Body, r.Length); err != nil {
				return err
			}
		}
		_, err := resp.conn.Write(b.Bytes())
		return err
	}
	if _, err := resp.conn.Write(b.Bytes()); err != nil {
		return err
	}
	resp.sent = make(chan struct{})
	go func() {
		defer close(resp.sent)
		resp.sendErr = writeBody(resp.conn, r)
	}()
	return nil
}

// find reads up to the answer to the request; whole answers to other requests before it are passed over.
func (resp *Response) find(ctx context.Context, r Request) error {
	info := 0
	for foreign := 0; foreign <= mostForeign; {
		answer, err := resp.conn.readHead(ctx, r)
		if err != nil {
			return err
		}
		if answer.StatusCode < http.StatusOK {
			if info++; info > mostInformational {
				break
			}
			continue
		}
		if r.Mine == nil || r.Mine(answer.StatusCode, answer.Header) {
			resp.Response = answer
			return nil
		}
		foreign++
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
			return io.ErrUnexpectedEOF
		}
	}
	return fault.New(fault.EndpointCut, r.Address, "endpoint answers other requests only")
}

// Read reads the body; io.EOF comes only at the end of a whole one.
//
// Invariant: a body that lasts until the close is whole only if the request was written without an error. A reset is reported to
// whoever uses the connection first; if that is the writer, the reader behind it sees an ordinary end.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.Body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if resp.lastsUntilClose() && resp.awaitSent() != nil {
		return n, io.ErrUnexpectedEOF
	}
	resp.whole = true
	return n, err
}

// lastsUntilClose reports whether the body has no length of its own.
func (resp *Response) lastsUntilClose() bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// awaitSent waits until the writing of the request has ended, and returns its error.
func (resp *Response) awaitSent() error {
	if resp.sent == nil {
		return nil
	}
	<-resp.sent
	return resp.sendErr
}

// Discard reads the rest of a body that nobody needs, if it is short and there already, so that the connection can be kept.
func (resp *Response) Discard() {
	_ = resp.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, resp, maxDiscarded)
	_ = resp.conn.SetReadDeadline(time.Time{})
}

// Close keeps the connection for another request if the exchange has ended as it should.
func (resp *Response) Close() {
	if !resp.stop() || !resp.whole || resp.Response.Close || !resp.bodySent() || resp.conn.r.Buffered() > 0 {
		resp.discard()
		return
	}
	resp.conn.idleLimit = keepFor(resp.Header)
	if resp.conn.idleLimit <= 0 {
		resp.discard()
		return
	}
	resp.pool.put(resp.conn)
}

// bodySent tells whether the whole request was written. A connection on which the rest of a body is due carries no
// other request: its bytes would be taken for that rest.
func (resp *Response) bodySent() bool {
	if resp.sent == nil {
		return true
	}
	select {
	case <-resp.sent:
		return resp.sendErr == nil
	default:
		return false
	}
}

// discard closes the connection.
func (resp *Response) discard() {
	resp.stop()
	_ = resp.conn.Close()
}

// keepFor is how long the endpoint keeps an idle connection, less a margin.
func keepFor(h http.Header) time.Duration {
	for word := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

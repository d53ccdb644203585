package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// endlessBytes is how much an endpoint writes at the most that would go on for ever, in bytes.
const endlessBytes = 4 << 20

// sendToWriter sends a request to an endpoint that writes an answer and then repeats a text, on a connection without buffers. It
// returns how many bytes were read of the answer.
func sendToWriter(ctx context.Context, r Request, answer, repeated string) (resp *Response, read func() int, err error) {
	here, there := net.Pipe()
	count := make(chan int, 1)
	go func() {
		defer func() { _ = there.Close() }()
		if _, err := http.ReadRequest(newConn(there, "").r); err != nil {
			count <- 0
			return
		}
		n, err := io.WriteString(there, answer)
		for err == nil && repeated != "" && n < endlessBytes {
			var m int
			m, err = io.WriteString(there, repeated)
			n += m
		}
		count <- n
	}()
	pool := NewPool(WithDial(func(context.Context, string, string) (net.Conn, error) { return here, nil }))
	r.Address, r.Method, r.Target = "endpoint", http.MethodGet, "/"
	resp, err = pool.Do(ctx, r)
	return resp, func() int { return <-count }, err
}

// TestEndlessHeads guards against a node that runs out of memory because the head of an endpoint's answer has no end.
func TestEndlessHeads(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	long := "X-A: " + strings.Repeat("a", MaxHead/2) + "\r\n"
	for _, c := range []struct {
		name, answer, repeated string
		// most bounds the bytes that are read; tooLong is set if the length is why the answer is given up.
		most    int
		tooLong bool
	}{
		{"no answer", "", "abcdefgh", readBuffer, false},
		{"status line", "HTTP/1.1 200 ", "abcdefgh", MaxHead, true},
		{"field", head + "X-A: ", "abcdefgh", MaxHead, true},
		{"field name", head, "abcdefgh", MaxHead, true},
		{"fields", head, "X-A: b\r\n", MaxHead, true},
		{"folded field", head + "X-A: b\r\n", " c\r\n", MaxHead, true},
		{"provisional answers", "", "HTTP/1.1 100 Continue\r\n\r\n", readBuffer, false},
		{"long provisional answers", "", "HTTP/1.1 103 Early Hints\r\n" + long + "\r\n", (mostInformational + 1) * MaxHead, false},
		{"head of a foreign answer", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 ", "abcdefgh", 2 * MaxHead, true},
		{"foreign answers", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n", readBuffer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			r := Request{Mine: func(_ int, h http.Header) bool { return h.Get("X-Id") != "other" }}
			_, read, err := sendToWriter(ctx, r, c.answer, c.repeated)
			if got, want := fault.CodeOf(err), fault.EndpointCut; got != want || ctx.Err() != nil {
				t.Errorf("code: got %q (%v), want %q in time", got, err, want)
			}
			if got := errors.Is(err, ErrHeadTooLong); got != c.tooLong {
				t.Errorf("too long: got %v (%v), want %v", got, err, c.tooLong)
			}
			if got := read(); got > c.most {
				t.Errorf("bytes read: got %d, want at most %d", got, c.most)
			}
		})
	}
}

// TestHeadsTakeReservedMemory guards against heads of answers that hold more memory together than the budget has: drawn heads
// are read beside others that hold a part of the budget. One that fits is read as it was sent.
func TestHeadsTakeReservedMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := memory.New(int64(rapid.IntRange(0, 3*headMemory).Draw(t, "budget")))
		other := budget.NewReservation("other")
		for rapid.Bool().Draw(t, "other") && other.Grow(headMemory/8) {
			continue
		}
		var head bytes.Buffer
		head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
		for range rapid.IntRange(0, 40).Draw(t, "fields") {
			head.WriteString("X-A: " + strings.Repeat("a", rapid.SampledFrom([]int{1, 100, readBuffer, MaxHead / 4}).Draw(t, "length")) + "\r\n")
		}
		head.WriteString("\r\n")
		size := head.Len()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		own := budget.NewReservation("own")
		resp, read, err := sendToWriter(ctx, Request{Reservation: own}, head.String(), "")
		if use := budget.Usage(); use.Peak > use.Size {
			t.Fatalf("held: got %+v, want no more than the size", use)
		}
		switch {
		case err == nil:
			if got := len(resp.Header["X-A"]); size > MaxHead || got != strings.Count(head.String(), "X-A") {
				t.Fatalf("head of %d bytes: got %d fields, want %d and no more than %d bytes", size, got, strings.Count(head.String(), "X-A"), MaxHead)
			}
			if use := budget.Usage(); size > readBuffer && use.Peak < headMemory {
				t.Fatalf("head of %d bytes: got %+v, want %d bytes reserved", size, use, headMemory)
			}
			resp.discard()
		case size <= readBuffer:
			t.Fatalf("head of %d bytes: got %v, want it read", size, err)
		}
		if got, most := read(), MaxHead; got > most && err != nil {
			t.Fatalf("bytes read: got %d, want at most %d", got, most)
		}
		own.Release()
		other.Release()
		if use := budget.Usage(); use.Used != 0 {
			t.Fatalf("held after all: got %+v, want nothing", use)
		}
	})
}

package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/memory"
)

// atOnce is the largest body that is written before the answer is looked for, and the largest chunk, in bytes.
const atOnce = 8 << 10

// Request is one request to an endpoint.
type Request struct {
	// Address is the endpoint's IP and port.
	Address string
	// Method, Target and Host are sent as they are.
	Method, Target, Host string
	// Header holds the fields besides the body's length and the host.
	Header http.Header
	// Body is the whole body; Length is -1 when it is only known at its end.
	Body   io.Reader
	Length int64
	// Fresh bounds how long a kept connection may have been idle, 0 for no bound: one may be dead, which a request that
	// must not repeat does not survive.
	Fresh time.Duration
	// Reservation counts the memory for the head of a long answer, nil for no bound but MaxHead.
	Reservation *memory.Reservation
	// Mine tells whether an answer belongs to the request; nil takes the first one.
	Mine func(status int, h http.Header) bool
}

func writeHead(b *bytes.Buffer, r Request) {
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || bodied(r.Method):
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
}

// bodied tells whether a request of the method states its length even without a body.
func bodied(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeBody(w io.Writer, r Request) error {
	if r.Length >= 0 {
		_, err := io.CopyN(w, r.Body, r.Length)
		return err
	}
	buf := make([]byte, atOnce)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			chunk := strconv.FormatInt(int64(n), 16) + "\r\n" + string(buf[:n]) + "\r\n"
			if _, werr := io.WriteString(w, chunk); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

package backend

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
)

// mostSpoiled bounds the bytes of one spoiled answer: more than a node may hold.
const mostSpoiled = 512 << 20

// spoiledPiece is how much of a spoiled answer is written at once, in bytes.
const spoiledPiece = 64 << 10

// spoils are the ways in which answers are spoiled: each begins with a text and repeats another one without an end.
var spoils = map[string]struct{ begin, repeat string }{
	"line":        {"", "abcdefgh"},
	"status":      {"HTTP/1.1 200 ", "abcdefgh"},
	"field":       {"HTTP/1.1 200 OK\r\nX-A: ", "abcdefgh"},
	"fields":      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	"provisional": {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
	"body":        {"HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"},
	"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
	"short":       {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
	"chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"},
	"trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
}

// Spoils returns the ways in which answers can be spoiled, in a fixed order.
func Spoils() (ways []string) {
	for way := range spoils {
		ways = append(ways, way)
	}
	slices.Sort(ways)
	return ways
}

// spoil writes bytes without an end in place of an answer, until the connection is closed or reset.
func (b *Backend) spoil(w http.ResponseWriter, call, way string) {
	b.noteHalved(call)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// A body without a length would end with an ordinary close.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	defer func() { _ = conn.Close() }()
	how := spoils[way]
	n, err := io.WriteString(conn, how.begin)
	piece := strings.Repeat(how.repeat, spoiledPiece/len(how.repeat))
	for err == nil && n < mostSpoiled {
		var more int
		more, err = io.WriteString(conn, piece)
		n += more
	}
}

// noteHalved records that the answer to a request is broken off on purpose.
func (b *Backend) noteHalved(call string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[call]
	r.Halved++
	b.runs[call] = r
}

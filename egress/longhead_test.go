package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/table"
)

// TestEndlessAnswersLeaveOthersAlone guards against a node that is killed for its memory, with the requests of all its callers,
// because of what one endpoint writes: answers whose heads have no end are given up as unknown, each with a log line, and the
// requests beside them are served.
func TestEndlessAnswersLeaveOthersAlone(t *testing.T) {
	const before, most = 20, 16 << 20
	address, written := serveEndless(t, most)
	e := newTestEgress(t, address, table.Active)
	e.budget = memory.New(2 << 20)
	out := new(logBuffer)
	log := zerolog.New(out)
	e.log = &log
	send := func(path string) *peerpb.End {
		return serve(t, e, &peerpb.Dispatch{
			Endpoint: "e1", Service: "desk", Method: http.MethodPost, Target: path, BudgetMicros: (4 * time.Second).Microseconds(),
		})
	}
	good := func() {
		if end := send("/good"); !end.GetComplete() {
			t.Errorf("sound answer: got %v, want it whole", end)
		}
	}
	for range before {
		good()
	}
	var running sync.WaitGroup
	endless := []string{"/line", "/fields"}
	for _, path := range endless {
		running.Go(good)
		running.Go(func() {
			end := send(path)
			if got, want := fault.Code(end.GetCode()), fault.EndpointCut; got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_UNKNOWN {
				t.Errorf("endless answer: got %v, want unknown, %s", end, want)
			}
		})
	}
	running.Wait()
	if got, want := len(out.lines("425")), len(endless); got != want {
		t.Errorf("lines of heads that are too long: got %d, want %d", got, want)
	}
	if use := e.budget.Usage(); use.Peak > use.Size || use.Used > 0 {
		t.Errorf("memory: got %+v, want at most its size, and nothing in the end", use)
	}
	for range endless {
		if got := <-written; got >= most {
			t.Errorf("bytes of one answer: got %d, want the node to close the connection", got)
		}
	}
}

// serveEndless starts an endpoint whose answers on paths other than /good go on until the node closes the connection, or for most
// bytes. It sends how many bytes it has written of each.
func serveEndless(t *testing.T, most int) (address string, written <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	counts := make(chan int, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if r.URL.Path == "/good" {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						continue
					}
					counts <- writeEndless(c, r.URL.Path, most)
					return
				}
			}()
		}
	}()
	return l.Addr().String(), counts
}

func writeEndless(w io.Writer, path string, most int) int {
	start, text := "HTTP/1.1 200 ", strings.Repeat("a", 1<<10)
	if path == "/fields" {
		start, text = "HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 1<<7)
	}
	n, err := io.WriteString(w, start)
	for err == nil && n < most {
		var m int
		m, err = io.WriteString(w, text)
		n += m
	}
	return n
}

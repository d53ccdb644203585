package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// echoHandler answers every dispatch with its request id and body.
type echoHandler struct{}

func (echoHandler) Serve(_ context.Context, d *peerpb.Dispatch, body io.Reader, sink Sink) *peerpb.End {
	_ = sink.Head(&peerpb.Head{Status: 200}, true)
	_ = sink.Data([]byte(d.GetRequestId()), true)
	if d.GetBodyLength() != 0 {
		all, err := io.ReadAll(body)
		if err != nil || sink.Data(all, true) != nil {
			return Unknown("endpoint_cut")
		}
	}
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

func (echoHandler) Fetch(context.Context, uint64, Sink) *peerpb.End {
	return Unknown("unknown_exchange")
}

func (echoHandler) Settle(*peerpb.Settle) {}

func (echoHandler) HandlePoisonReport(*peerpb.Ended) *peerpb.Ended { return nil }

// GrantAllotment implements Handler.
func (echoHandler) GrantAllotment(_ string, want int) (int, time.Duration) { return want - 1, 0 }

func (echoHandler) Confirm(context.Context) (uint64, bool) { return 7, true }

func (echoHandler) Deltas(table.Revisions, bool) []*peerpb.Delta { return []*peerpb.Delta{{To: 7}} }

// recordingSink records the body of an answer.
type recordingSink struct{ body []byte }

func (*recordingSink) ReportOverdue()                {}
func (*recordingSink) Due(time.Duration)             {}
func (*recordingSink) Head(*peerpb.Head, bool) error { return nil }
func (k *recordingSink) Data(b []byte, _ bool) error { k.body = append(k.body, b...); return nil }

// startManager starts a node whose handler is echoHandler, and returns it with its address.
func startManager(t *testing.T, config *tls.Config) (*Manager, string) {
	t.Helper()
	log := zerolog.Nop()
	m := NewManager(Config{
		Node: "n", Listen: "127.0.0.1:0", Heartbeat: 10 * time.Millisecond, EchoTimeout: 100 * time.Millisecond,
		IdleTimeout: time.Minute, MaxConns: 10, TLS: config,
	}, &log)
	m.Handle(echoHandler{})
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m, m.listener.Addr().String()
}

// exchange sends a request to a peer and returns its end and the body of its answer.
func exchange(t *testing.T, m *Manager, address, id string) (*peerpb.End, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s, err := m.Session(ctx, address)
	if err != nil {
		return NotRun("link_down", 0), ""
	}
	k := &recordingSink{}
	end := s.Exchange(ctx, &peerpb.Dispatch{RequestId: id, BudgetMicros: 1e6}, nil, k)
	return end, string(k.body)
}

// authority returns a new certificate authority and a function that issues certificates for 127.0.0.1.
func authority(t *testing.T) (*x509.CertPool, func() tls.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parent, _ := x509.ParseCertificate(der)
	pool := x509.NewCertPool()
	pool.AddCert(parent)
	return pool, func() tls.Certificate {
		leaf, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		template := &x509.Certificate{
			SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
			NotBefore: ca.NotBefore, NotAfter: ca.NotAfter,
		}
		der, err := x509.CreateCertificate(rand.Reader, template, parent, &leaf.PublicKey, key)
		if err != nil {
			t.Fatal(err)
		}
		return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: leaf}
	}
}

// TestMutualTLS checks that a peer with a certificate of the configured authority is served and that a peer without a
// certificate, or with one of another authority, is refused.
func TestMutualTLS(t *testing.T) {
	pool, issue := authority(t)
	_, issueOther := authority(t)
	config := func(certs ...tls.Certificate) *tls.Config {
		return &tls.Config{
			Certificates: certs, RootCAs: pool, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		}
	}
	_, address := startManager(t, config(issue()))
	cases := []struct {
		name   string
		client *tls.Config
		want   peerpb.Outcome
	}{
		{"same authority", config(issue()), peerpb.Outcome_OUTCOME_RAN},
		{"no certificate", config(), peerpb.Outcome_OUTCOME_UNKNOWN},
		{"other authority", config(issueOther()), peerpb.Outcome_OUTCOME_UNKNOWN},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, _ := startManager(t, c.client)
			end, _ := exchange(t, m, address, "x")
			if got := end.GetOutcome(); got != c.want && (c.want == peerpb.Outcome_OUTCOME_RAN || got == peerpb.Outcome_OUTCOME_RAN) {
				t.Errorf("outcome: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestConcurrentExchangesGetOwnAnswers runs many exchanges concurrently over one link, some of which are canceled
// midway, and checks that each of the others gets its own answer.
func TestConcurrentExchangesGetOwnAnswers(t *testing.T) {
	server, address := startManager(t, nil)
	_ = server
	m, _ := startManager(t, nil)
	done := make(chan string, 200)
	for i := range 200 {
		go func() {
			id := "request-" + time.Duration(i).String()
			if i%5 == 0 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*10*time.Microsecond)
				defer cancel()
				if s, err := m.Session(ctx, address); err == nil {
					_ = s.Exchange(ctx, &peerpb.Dispatch{RequestId: "canceled", BudgetMicros: 1e6}, nil, &recordingSink{})
				}
				done <- ""
				return
			}
			if end, got := exchange(t, m, address, id); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || got != id {
				done <- "got " + end.GetCode() + " " + got + ", want " + id
				return
			}
			done <- ""
		}()
	}
	for range 200 {
		if got := <-done; got != "" {
			t.Error(got)
		}
	}
}

// TestLargeBodies sends bodies larger than a frame, of known and of unknown length, over a link and back.
func TestLargeBodies(t *testing.T) {
	_, address := startManager(t, nil)
	m, _ := startManager(t, nil)
	s, err := m.Session(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), 3*MaxFrame/16)
	for _, length := range []int64{int64(len(body)), -1} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		k := &recordingSink{}
		d := &peerpb.Dispatch{RequestId: "id:", BudgetMicros: 1e7, BodyLength: length}
		end := s.Exchange(ctx, d, bytes.NewReader(body), k)
		cancel()
		if got, want := end.GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
			t.Errorf("length %d: got %v, want %v", length, end, want)
		}
		if got, want := k.body, append([]byte("id:"), body...); !bytes.Equal(got, want) {
			t.Errorf("length %d: got %d bytes, want the %d sent", length, len(got), len(want))
		}
	}
}

// TestMalformedBytesFromPeer checks that malformed bytes end only the stream or link on which they arrive.
func TestMalformedBytesFromPeer(t *testing.T) {
	_, address := startManager(t, nil)
	m, _ := startManager(t, nil)
	if end, _ := exchange(t, m, address, "before"); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Fatalf("before: got %v, want it to run", end)
	}
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n\x00\xff\xff\xff\xff"))
	_ = raw.Close()
	s, err := m.Session(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = stream.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f garbage"))
	if n, err := stream.Read(make([]byte, 1)); err == nil {
		t.Errorf("stream with malformed bytes: got %d bytes, want its end", n)
	}
	if end, got := exchange(t, m, address, "after"); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || got != "after" {
		t.Errorf("after: got %v %q, want its own answer", end, got)
	}
}

// FuzzFrame reads arbitrary bytes as frames: the result may be an error, but never a panic or an endless read.
func FuzzFrame(f *testing.F) {
	good := &recorder{}
	_ = WriteFrame(good, &peerpb.Frame{Kind: &peerpb.Frame_Head{Head: &peerpb.Head{Status: 200}}})
	f.Add(good.bytes.Bytes())
	f.Add([]byte{0})
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte("\x05\x0a\x03abc"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewFrameReader(&recorderReader{b})
		for range len(b) + 1 {
			if _, err := r.Read(); err != nil {
				return
			}
		}
		t.Errorf("got %d frames from %d bytes, want fewer", len(b)+1, len(b))
	})
}

// recorderReader reads from a byte slice.
type recorderReader struct{ b []byte }

func (r *recorderReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}

package node_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/cli"
)

// TestOperatorsSeeThrottling guards against a node that throttles without its operators being able to tell: a service
// without endpoints is throttled in part, and event 420, the metrics and the explain command agree with what the callers
// were told.
func TestOperatorsSeeThrottling(t *testing.T) {
	f := start(t, "service: {desk: {}}\nroute: {all: {service: desk}}\n", "overload: {early_refusal: true}")
	const requests = 300
	throttled := 0
	for range requests {
		resp, err := http.Get("http://" + f.callers + "/")
		if err != nil {
			t.Fatal(err)
		}
		var body bytes.Buffer
		_, _ = body.ReadFrom(resp.Body)
		_ = resp.Body.Close()
		if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Fatalf("status: got %d %s, want %d", got, body.String(), want)
		}
		if strings.Contains(body.String(), `"throttled"`) {
			throttled++
		}
	}
	if throttled == 0 || throttled > requests*9/10 {
		t.Errorf("throttled: got %d of %d, want about three quarters", throttled, requests)
	}
	if got, want := f.explain(t), regexp.MustCompile(`(?m)^\S+ +all +\d+ +0 +\d+ +0\.75$`); !want.MatchString(got) {
		t.Errorf("explain: got %s, want a line like %s", got, want)
	}
	f.awaitThrottledMetrics(t, throttled)
	f.stop(t)
	told := 0
	for _, m := range regexp.MustCompile(`"event":420,.*"count":(\d+)`).FindAllStringSubmatch(f.logs.String(), -1) {
		n, _ := strconv.Atoi(m[1])
		told += n
	}
	if got, want := told, throttled; got != want {
		t.Errorf("throttled requests in lines 420: got %d, want %d", got, want)
	}
	if got := strings.Count(f.logs.String(), `"event":500`); got != 0 {
		t.Errorf("lines 500: got %d, want none", got)
	}
}

// explain returns what the operators' tool prints about the service desk.
func (f *fixture) explain(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ctl.yaml")
	text := fmt.Sprintf("author: test\nplatform: {address: %q}\nnodes: [%q]\ntoken: secret\n", f.operator, f.operator)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if code := cli.Main([]string{"-config", path, "explain", "desk"}, &out, &errOut); code != 0 {
		t.Fatalf("explain: got exit code %d: %s", code, errOut.String())
	}
	return out.String()
}

// awaitThrottledMetrics waits until the metrics show the number of throttled requests and that the share has fallen to 0,
// which is after the sample by which the last line 420 is written.
func (f *fixture) awaitThrottledMetrics(t *testing.T, throttled int) {
	t.Helper()
	want := []string{fmt.Sprintf(`lynxplank_throttled{service="desk"} %d`+"\n", throttled), `lynxplank_throttle_share{service="desk"} 0` + "\n"}
	time.Sleep(4 * time.Second)
	text := ""
	for range 400 {
		text = f.metrics(t)
		if strings.Contains(text, want[0]) && strings.Contains(text, want[1]) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("metrics: got %q, want %q", regexp.MustCompile(`lynxplank_throttle.*\n`).FindAllString(text, -1), want)
}

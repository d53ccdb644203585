package events

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestBoundKeepsFailedLines floods the log with served requests and some failed ones: what an event may write is
// bounded, none pushes another out, and what was left out is told by event.
func TestBoundKeepsFailedLines(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	b := NewLimitedWriter(&out, func() time.Time { return now })
	log := zerolog.New(b)
	const seconds, served, failed = 10, 1000, 20
	for range seconds {
		for range served {
			RequestServed.Log(&log).Str("request", "r").Send()
		}
		for range failed {
			RequestFailed.Log(&log).Str("request", "r").Send()
		}
		now = now.Add(time.Second)
	}
	b.Flush()
	lines, left := make(map[int]int), 0
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var l struct {
			Event   int            `json:"event"`
			LeftOut map[string]int `json:"left_out"`
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		lines[l.Event]++
		left += l.LeftOut["503"]
	}
	if got, most := lines[RequestServed.Number], (burstTime+seconds)*sampleLimit.Lines; got > most || got < seconds {
		t.Errorf("lines of served requests: got %d, want at most %d", got, most)
	}
	if got, want := lines[RequestFailed.Number], seconds*failed; got != want {
		t.Errorf("lines of failed requests: got %d, want %d", got, want)
	}
	if got, want := left+lines[RequestServed.Number], seconds*served; got != want {
		t.Errorf("lines of served requests and told as left out: got %d, want %d", got, want)
	}
}

// TestBoundBoundsBytes checks that long lines do not get past the bytes' limit.
func TestBoundBoundsBytes(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	log := zerolog.New(NewLimitedWriter(&out, func() time.Time { return now }))
	for range usualLimit.Lines {
		RequestFailed.Log(&log).Str("trail", strings.Repeat("x", 4<<10)).Send()
	}
	if got, most := out.Len(), burstTime*usualLimit.Bytes; got > most || got == 0 {
		t.Errorf("bytes: got %d, want at most %d", got, most)
	}
}

func BenchmarkLine(b *testing.B) {
	log := zerolog.New(NewLimitedWriter(&bytes.Buffer{}, time.Now)).With().Timestamp().Str("node", "h1").Logger()
	for b.Loop() {
		RequestServed.Log(&log).Str("request", "9c41d07be2a35f68").Str("service", "desk").Str("endpoint", "i-7f3a91c2").
			Str("route", "r-c7wbv2u").Uint64("config", 17).Int("sends", 1).Dur("after", time.Second).Send()
	}
}

package peer

import (
	"strconv"
	"testing"
	"time"
)

// TestLivesTellOfTheEarlierStart checks that a peer is told when the life before its present one was first heard of, on each
// link of the present one, and that the number of lives is bounded.
func TestLivesTellOfTheEarlierStart(t *testing.T) {
	start := time.Unix(1000, 0)
	l := make(lives)
	for _, c := range []struct {
		at          time.Duration
		incarnation uint64
		want        time.Duration
	}{
		{0, 1, -1},
		{time.Second, 1, -1},
		{2 * time.Second, 2, 0},
		{3 * time.Second, 2, 0},
		{4 * time.Second, 3, 2 * time.Second},
	} {
		got, want := l.hear(start.Add(c.at), "h1", c.incarnation), time.Time{}
		if c.want >= 0 {
			want = start.Add(c.want)
		}
		if !got.Equal(want) {
			t.Errorf("life %d at %v: got %v, want %v", c.incarnation, c.at, got, want)
		}
	}
	for i := range maxLives {
		l.hear(start.Add(5*time.Second), strconv.Itoa(i), 1)
	}
	if got, want := len(l), maxLives; got != want {
		t.Errorf("lives: got %d, want %d", got, want)
	}
	if _, ok := l["h1"]; ok {
		t.Error("the peer that was heard of first: got remembered, want forgotten")
	}
}

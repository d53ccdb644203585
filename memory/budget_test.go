package memory

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestBudgetIsKeptAndShared draws holdings of a few customers that grow, shrink and end: never is more held than the budget's size, what is
// held adds up, and no customer grows beyond what it leaves free.
func TestBudgetIsKeptAndShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1, 1000).Draw(t, "size")
		b := New(size)
		var holds []*Reservation
		sum := int64(0)
		bytes := make(map[*Reservation]int64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(holds) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				holds = append(holds, b.NewReservation(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer"))))
			}
			h := rapid.SampledFrom(holds).Draw(t, "hold")
			n := rapid.IntRange(0, 300).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				back := min(int64(n), bytes[h])
				h.Shrink(n)
				bytes[h], sum = bytes[h]-back, sum-back
			case 1:
				h.Release()
				sum -= bytes[h]
				bytes[h] = 0
			default:
				if h.Grow(n) {
					bytes[h], sum = bytes[h]+int64(n), sum+int64(n)
					if got := heldBy(bytes, h.customer); got > size-sum+int64(n) {
						t.Fatalf("customer: got %d held, want at most the %d that were left free", got, size-sum+int64(n))
					}
				}
			}
			use := b.Usage()
			if use.Used != sum || use.Used > size || use.Peak > size {
				t.Fatalf("use: got %+v, want %d held of %d", use, sum, size)
			}
		}
	})
}

func heldBy(bytes map[*Reservation]int64, customer string) (sum int64) {
	for h, n := range bytes {
		if h.customer == customer {
			sum += n
		}
	}
	return sum
}

// TestOneCustomerLeavesRoom checks that a customer which takes all it gets leaves room for others, and these for more.
func TestOneCustomerLeavesRoom(t *testing.T) {
	b := New(1200)
	for i, want := range []int64{600, 300, 150} {
		h := b.NewReservation(fmt.Sprint(i))
		got := int64(0)
		for h.Grow(10) {
			got += 10
		}
		if got < want-20 || got > want {
			t.Errorf("customer %d: got %d bytes, want about %d", i, got, want)
		}
	}
}

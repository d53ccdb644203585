package memory

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// TestBudgetIsKeptAndShared draws reservations of a few customers that grow, shrink and end. The bytes held never
// exceed the budget's size, they add up to those of the reservations, and no customer grows beyond what it leaves free.
func TestBudgetIsKeptAndShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1, 1000).Draw(t, "size")
		b := New(size)
		var reservations []*Reservation
		sum := int64(0)
		bytes := make(map[*Reservation]int64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(reservations) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				reservations = append(reservations, b.NewReservation(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer"))))
			}
			r := rapid.SampledFrom(reservations).Draw(t, "hold")
			n := rapid.IntRange(0, 300).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				back := min(int64(n), bytes[r])
				r.Shrink(n)
				bytes[r], sum = bytes[r]-back, sum-back
			case 1:
				r.Release()
				sum -= bytes[r]
				bytes[r] = 0
			default:
				if r.Grow(n) {
					bytes[r], sum = bytes[r]+int64(n), sum+int64(n)
					if got := heldBy(bytes, r.customer); got > size-sum+int64(n) {
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

// TestCustomerLeavesFreeSpace checks that a customer that takes all it gets leaves space for a second one, and these
// two for a third.
func TestCustomerLeavesFreeSpace(t *testing.T) {
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

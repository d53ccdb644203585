package director

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/table"
)

// BenchmarkCapacityTick reports the time of one tick by the number of services that the node meets, 32 endpoints each.
func BenchmarkCapacityTick(b *testing.B) {
	for _, n := range []int{10, 100, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := manyServices(b, n)
			now := time.Now()
			for key := range d.services {
				d.refresh(now, d.services[key])
			}
			for b.Loop() {
				now = now.Add(tickEvery)
				for _, rt := range d.services {
					rt.usedAt = now
				}
				d.tick(now)
			}
		})
	}
}

func manyServices(b *testing.B, n int) *Director {
	b.Helper()
	var rows []table.Row
	add := func(kind table.Kind, key string, cells ...string) {
		row, err := table.NewRow(kind, key, cells)
		if err != nil {
			b.Fatal(err)
		}
		row.Revision = 1
		rows = append(rows, row)
	}
	for i := range n {
		add(table.KindService, fmt.Sprintf("s%d", i))
		for j := range 32 {
			add(table.KindEndpoint, fmt.Sprintf("s%d-%d", i, j), fmt.Sprintf("s%d", i), "h", "hall", "127.0.0.1:1")
		}
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		b.Fatal(err)
	}
	log := zerolog.Nop()
	no := func(string) bool { return false }
	d := New(Config{}, &log, func() *table.State { return s }, no, func(string) bool { return true })
	for i := range n {
		d.runtimeOf(time.Now(), fmt.Sprintf("s%d", i))
	}
	return d
}

// BenchmarkCapacityPick reports the time of one choice, and its report, by the number of the service's endpoints.
func BenchmarkCapacityPick(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := ownHall(b, n)
			b.ReportAllocs()
			for b.Loop() {
				p, err := d.Pick(b.Context(), PickOptions{Service: "desk", RequireFreeSlot: true, LocalHallOnly: true})
				if err != nil {
					b.Fatal(err)
				}
				d.Done(Report{Service: "desk", Pick: p, Received: true})
			}
		})
	}
}

// BenchmarkCapacityRefresh reports the time in which a node brings its view of a service up, ten times a second while some
// endpoint of it is not simply serving, by the number of the service's endpoints.
func BenchmarkCapacityRefresh(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := ownHall(b, n)
			_ = d.Stop(b.Context())
			now := time.Now()
			rt := d.runtimeOf(now, "desk")
			b.ReportAllocs()
			for b.Loop() {
				d.refresh(now, rt)
			}
		})
	}
}

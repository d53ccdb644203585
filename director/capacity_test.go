package director

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// BenchmarkCapacityTick reports the time of one tick by the number of services that the node tracks, with 32 endpoints
// each.
func BenchmarkCapacityTick(b *testing.B) {
	for _, n := range []int{10, 100, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := manyServices(b, n)
			now := time.Now()
			for key := range d.services {
				d.refresh(now, d.services[key])
			}
			for b.Loop() {
				now = now.Add(tickInterval)
				for _, rt := range d.services {
					rt.usedAt = now
				}
				d.tick(now)
			}
		})
	}
}

// manyServices returns a director that tracks n services of 32 endpoints each.
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

// BenchmarkCapacityPick reports the time of one pick and its report, by the number of the service's endpoints.
func BenchmarkCapacityPick(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := singleHallDirector(b, n)
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

// BenchmarkCapacityRefresh reports the time in which a node refreshes its view of a service, by the number of the
// service's endpoints. While some endpoint is not in the serving phase this happens ten times a second.
func BenchmarkCapacityRefresh(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := singleHallDirector(b, n)
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

// BenchmarkCapacitySuspect reports the time in which a request that found no free slot chooses a suspect and its report
// arrives, by the number of the service's endpoints, a third of which are suspects with room and the others full.
func BenchmarkCapacitySuspect(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := singleHallDirector(b, n)
			d.cfg.SuspectRoom = true
			v, err := d.view(b.Context(), "desk")
			if err != nil {
				b.Fatal(err)
			}
			chance := 0.5
			suspect := &peerpb.Load{Trial: true, SuccessChance: &chance, TrialRoom: 1}
			for i := range v.entries {
				e := &v.entries[i]
				e.target.latency.Store(math.Float64bits(float64(time.Second)))
				if i%3 == 0 {
					e.target.applyLoad(time.Now(), suspect)
					report, _ := newSuspectReport(time.Now(), suspect, 1)
					e.target.suspect.Store(report)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				p, ok := d.PickSuspect(b.Context(), SuspectOptions{PickOptions: PickOptions{Service: "desk", Repeatable: true}})
				if !ok {
					b.Fatal("no suspect was chosen")
				}
				d.Done(Report{Service: "desk", Pick: p, Load: suspect})
			}
		})
	}
}

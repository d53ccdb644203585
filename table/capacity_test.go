package table

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The planned size of a fleet's configuration.
const (
	plannedServices  = 1300
	plannedEndpoints = 41000
	plannedRoutes    = 50000
	plannedCustomers = 220000
)

func plannedRows(b *testing.B, services, endpoints, routes, customers int) []Row {
	b.Helper()
	var rows []Row
	add := func(kind Kind, key string, cells ...string) {
		row, err := NewRow(kind, key, cells)
		if err != nil {
			b.Fatal(err)
		}
		row.Revision = 1
		rows = append(rows, row)
	}
	for i := range services {
		add(KindService, fmt.Sprintf("service-%04d", i), "60%")
	}
	for i := range endpoints {
		service := fmt.Sprintf("service-%04d", i%services)
		add(KindEndpoint, fmt.Sprintf("endpoint-%05d", i), service, fmt.Sprintf("host-%04d", i%3500), fmt.Sprintf("hall-%02d", i%21),
			fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250))
	}
	for i := range routes {
		add(KindRoute, fmt.Sprintf("route-%05d", i), fmt.Sprintf("host%d.example", i%10000), fmt.Sprintf("/path-%d", i), fmt.Sprintf("service-%04d", i%services))
	}
	for i := range customers {
		add(KindCustomer, fmt.Sprintf("customer-%06d", i), "1", "100")
	}
	return rows
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCapacityBytes reports the heap memory per row, by kind of row.
func BenchmarkCapacityBytes(b *testing.B) {
	kinds := map[string][4]int{
		"endpoint": {plannedServices, plannedEndpoints, 0, 0},
		"route":    {plannedServices, 0, plannedRoutes, 0},
		"customer": {plannedServices, 0, 0, plannedCustomers},
	}
	for name, n := range kinds {
		b.Run(name, func(b *testing.B) {
			rows := plannedRows(b, n[0], n[1], n[2], n[3])
			d := Delta{Full: true, To: 1, Rows: rows}
			before := heap()
			s, err := NewState().With(d)
			if err != nil {
				b.Fatal(err)
			}
			bytes := float64(heap()-before) / float64(n[1]+n[2]+n[3])
			runtime.KeepAlive(s)
			runtime.KeepAlive(rows)
			for range b.N {
				continue
			}
			b.ReportMetric(bytes, "bytes/row")
		})
	}
}

// BenchmarkCapacity reports the times of loads, single changes and lookups at the planned size.
func BenchmarkCapacity(b *testing.B) {
	rows := plannedRows(b, plannedServices, plannedEndpoints, plannedRoutes, plannedCustomers)
	s, err := NewState().With(Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("load", func(b *testing.B) {
		const loads = 3
		start := time.Now()
		for range loads {
			_, _ = NewState().With(Delta{Full: true, To: 1, Rows: rows})
		}
		b.ReportMetric(time.Since(start).Seconds()/loads, "s/load")
	})
	b.Run("merge", func(b *testing.B) {
		row, _ := NewRow(KindEndpoint, "endpoint-00007", []string{"service-0007", "host-0007", "hall-07", "10.0.7.1:8080", "5"})
		state := s
		for i := range b.N {
			row.Revision = uint64(i) + 2
			state, _ = state.With(Delta{From: uint64(i) + 1, To: uint64(i) + 2, Rows: []Row{row}})
		}
	})
	b.Run("match", func(b *testing.B) {
		for i := range b.N {
			s.Match(fmt.Sprintf("host%d.example", i%10000), "/path-7/x")
		}
	})
	b.Run("customer", func(b *testing.B) {
		for i := range b.N {
			s.Customer(fmt.Sprintf("customer-%06d", i%plannedCustomers))
		}
	})
}

// BenchmarkCapacityAnnounced reports the time in which a node applies the changed announcement of one host, by the
// number of hosts. Each host has one endpoint; the state also holds 500 routes.
func BenchmarkCapacityAnnounced(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, err := NewState().With(Delta{Full: true, To: 1, Rows: plannedRows(b, 2, 0, 500, 0)})
			if err != nil {
				b.Fatal(err)
			}
			announced := make([]Announced, n)
			for i := range announced {
				announced[i] = Announced{Key: fmt.Sprintf("endpoint-%05d", i), Value: Endpoint{
					Service: fmt.Sprintf("service-%04d", i%2), Host: fmt.Sprintf("host-%04d", i), Hall: "hall",
					Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Slots: 1, Weight: 1,
				}}
			}
			for i := 0; b.Loop(); i++ {
				announced[i%n].Value.Slots++
				s = s.WithEndpoints(uint64(i)+1, announced)
			}
		})
	}
}

package eject

import (
	"fmt"
	"testing"
	"time"
	"unsafe"
)

// BenchmarkCapacityObserve reports the time of one piece of evidence by the number of endpoints, and the bytes that
// an endpoint takes.
func BenchmarkCapacityObserve(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, list := capacityService(n)
			now := time.Unix(0, 0)
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				s.Observe(now, list[i%n].Key, Observation{Latency: time.Duration(1+i%7) * time.Millisecond})
			}
			b.ReportMetric(float64(unsafe.Sizeof(endpoint{})), "bytes/endpoint")
		})
	}
}

// BenchmarkCapacityReport reports the time of one report of others' work by the number of endpoints. It tells of 64 pieces:
// what an endpoint does between two visits of a node that meets it once in ten seconds.
func BenchmarkCapacityReport(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, list := capacityService(n)
			now := time.Unix(0, 0)
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				s.ObserveCounts(now, list[i%n].Key, 64, 1)
			}
		})
	}
}

func capacityService(n int) (*Detector, []Endpoint) {
	s := NewDetector(DefaultConfig())
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Key: fmt.Sprint(i), Capacity: 4, Usable: true})
	}
	s.SetEndpoints(time.Unix(0, 0), list)
	return s, list
}

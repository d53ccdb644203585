package eject

import (
	"math"
	"time"
)

const (
	bucketsPerDoubling = 3
	bucketCount        = 80
	bucketGrowth       = 1.005
	bucketRenormalize  = 1e12
)

// histogram holds service times in logarithmic buckets. The weight of old samples decays with each new one. A library
// histogram with exact time windows takes tens of kilobytes per endpoint; this one takes 320 bytes.
type histogram struct {
	counts  [bucketCount]float32
	total   float64
	unit    float64
	samples int
}

func bucketOf(d time.Duration) int {
	us := max(float64(d)/float64(time.Microsecond), 1)
	return min(int(math.Log2(us)*bucketsPerDoubling), bucketCount-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i+1)/bucketsPerDoubling) * float64(time.Microsecond))
}

func (h *histogram) add(d time.Duration) {
	if h.unit == 0 {
		h.unit = 1
	}
	h.counts[bucketOf(d)] += float32(h.unit)
	h.total += h.unit
	h.samples++
	h.unit *= bucketGrowth
	if h.unit > bucketRenormalize {
		h.renormalize()
	}
}

func (h *histogram) renormalize() {
	for i := range h.counts {
		h.counts[i] /= bucketRenormalize
	}
	h.total /= bucketRenormalize
	h.unit /= bucketRenormalize
}

// quantile returns the upper edge of the bucket that holds the share q of the weight.
func (h *histogram) quantile(q float64) time.Duration {
	target := q * h.total
	sum := 0.0
	for i, c := range h.counts {
		sum += float64(c)
		if sum >= target {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

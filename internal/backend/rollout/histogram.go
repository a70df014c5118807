package rollout

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the number of buckets by which a latency doubles.
	bucketsPerOctave = 4
	// minLatency is the upper bound of the first bucket, and maxBuckets bounds the last at some
	// 20 minutes.
	minLatency = time.Millisecond
	maxBuckets = 82
)

// BucketOf returns the bucket of a latency in the histograms of a Sample. Each bucket is wider than
// the one before it by the same factor.
func BucketOf(took time.Duration) int {
	if took <= minLatency {
		return 0
	}
	bucket := int(math.Ceil(math.Log2(float64(took)/float64(minLatency)) * bucketsPerOctave))
	return min(bucket, maxBuckets-1)
}

// addToBucket counts one latency and returns the histogram, which grows up to the bucket.
func addToBucket(histogram []int, took time.Duration) []int {
	bucket := BucketOf(took)
	for len(histogram) <= bucket {
		histogram = append(histogram, 0)
	}
	histogram[bucket]++
	return histogram
}

// addHistogram adds one histogram to another, which it returns.
func addHistogram(to, from []int) []int {
	for len(to) < len(from) {
		to = append(to, 0)
	}
	for bucket, count := range from {
		to[bucket] += count
	}
	return to
}

// subtractHistogram returns what a cumulative histogram counted since an earlier one.
func subtractHistogram(later, earlier []int) []int {
	difference := make([]int, len(later))
	for bucket, count := range later {
		if bucket < len(earlier) {
			count -= earlier[bucket]
		}
		difference[bucket] = max(count, 0)
	}
	return difference
}

func totalOf(histogram []int) int {
	total := 0
	for _, count := range histogram {
		total += count
	}
	return total
}

// medianBucket returns the bucket of the median.
func medianBucket(histogram []int) int {
	half, below := (totalOf(histogram)+1)/2, 0
	for bucket, count := range histogram {
		below += count
		if below >= half {
			return bucket
		}
	}
	return 0
}

// countAbove counts the latencies in the buckets above one.
func countAbove(histogram []int, bucket int) int {
	if bucket+1 >= len(histogram) {
		return 0
	}
	return totalOf(histogram[bucket+1:])
}

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

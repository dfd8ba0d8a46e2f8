package router

import "testing"

func TestMemoryLimitFollowsTheLiveHeap(t *testing.T) {
	const mebibyte = 1 << 20
	for _, c := range []struct {
		configured, live uint64
		want             int64
	}{
		{0, 5 * mebibyte, noMemoryLimit},
		{40 * mebibyte, 0, 40 * mebibyte},
		{40 * mebibyte, 23 * mebibyte, 40 * mebibyte},
		{40 * mebibyte, 25 * mebibyte, noMemoryLimit},
		{1 << 63, 0, noMemoryLimit},
	} {
		if got := memoryLimit(c.configured, c.live); got != c.want {
			t.Errorf("limit %d, live %d: got %d, want %d", c.configured, c.live, got, c.want)
		}
	}
}

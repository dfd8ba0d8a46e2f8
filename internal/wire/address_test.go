package wire

import "testing"

// TestSharedNetwork checks that only whole leading parts count, at most two.
func TestSharedNetwork(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want int
	}{
		{"10.1.0.1:80", "10.1.7.8:90", 2}, {"10.1.0.1:80", "10.1.0.1:80", 2}, {"10.1.0.1:80", "10.12.0.1:80", 1},
		{"10.1.0.1:80", "110.1.0.1:80", 0}, {"0.0.0.0:80", "10.1.0.1:80", 0}, {"", "10.1.0.1:80", 0}, {"[::1]:80", "[::1]:80", 0},
	} {
		if got := SharedNetwork(c.a, c.b); got != c.want {
			t.Errorf("%q and %q share %d parts, want %d", c.a, c.b, got, c.want)
		}
	}
}

package wire

// SharedNetwork returns how many leading dot-separated parts two IPv4 addresses have in
// common, at most two. Machines in one location usually have addresses in one network.
func SharedNetwork(a, b string) int {
	const parts = 2
	shared, dots := 0, 0
	for index := 0; index < min(len(a), len(b)) && a[index] == b[index] && dots < parts; index++ {
		if a[index] == '.' {
			dots++
			shared = dots
		}
	}
	return shared
}

package wire

// SharedNetwork counts the leading parts of numbers that two addresses share, two at most:
// machines of one place usually have numbers of one network.
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

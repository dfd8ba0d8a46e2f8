package link

import "testing"

// TestMeterTellsOverheadApart checks that bytes of connections that are not bodies count as
// overhead, and that overhead is not negative if a body is counted before its connection
// transferred it.
func TestMeterTellsOverheadApart(t *testing.T) {
	meter := &Meter{}
	meter.Add(In, Bodies, 4000)
	if got := meter.Total(In, Overhead); got != 0 {
		t.Errorf("overhead %d before the connection carried anything, want 0", got)
	}
	meter.Opened()
	meter.AddStream(In, 4300)
	meter.AddStream(Out, 500)
	meter.Add(Out, Answers, 200)
	meter.Add(In, Directory, 1000)
	if got, want := meter.Total(In, Overhead), int64(300+connectionBytes); got != want {
		t.Errorf("overhead in %d, want %d", got, want)
	}
	if got, want := meter.Total(Out, Overhead), int64(300+connectionBytes); got != want {
		t.Errorf("overhead out %d, want %d", got, want)
	}
	if got := meter.Total(In, Directory); got != 1000 {
		t.Errorf("directory in %d, want 1000", got)
	}
}

package remoteclock

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestEarliestIsNeverLaterThanTheReading checks random delays and clocks that drift as far as is allowed: the earliest moment
// is not before the request was sent, and not after the reading was taken.
func TestEarliestIsNeverLaterThanTheReading(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		rate := 1 + maxDrift*(2*random.Float64()-1)
		var distances Distances
		now := time.Duration(random.Int64N(int64(time.Hour)))
		ahead := time.Duration(random.Int64N(int64(time.Hour)))
		for range 300 {
			longest := int64(time.Millisecond) << random.IntN(12)
			there, back := time.Duration(random.Int64N(longest)), time.Duration(random.Int64N(longest))
			taken := now + there
			remote := ReadingAt(7, ahead+time.Duration(float64(taken)*rate))
			earliest := distances.EarliestOf(remote, now, taken+back)
			if earliest < now || earliest > taken {
				t.Fatalf("seed %d: sent at %s, taken at %s, received at %s, earliest %s", seed, now, taken, taken+back, earliest)
			}
			now = taken + back + time.Duration(random.Int64N(int64(time.Second)))
		}
	}
}

// TestSlowRequestsAreDatedByEarlierAnswers guards against a proof that counts as older than it is, because the way of its
// request took long.
func TestSlowRequestsAreDatedByEarlierAnswers(t *testing.T) {
	const (
		ahead = 5 * time.Second
		short = 2 * time.Millisecond
		long  = 3 * time.Second
	)
	var distances Distances
	at := func(now time.Duration) Reading { return ReadingAt(7, ahead+now) }
	if earliest := distances.EarliestOf(at(time.Minute+long), time.Minute, time.Minute+long); earliest != time.Minute {
		t.Errorf("the first answer is dated %s, want the moment of its request", earliest-time.Minute)
	}
	distances.EarliestOf(at(2*time.Minute+short), 2*time.Minute, 2*time.Minute+2*short)
	sent := 3 * time.Minute
	earliest := distances.EarliestOf(at(sent+long), sent, sent+long+short)
	if late := sent + long - earliest; late < 0 || late > 100*time.Millisecond {
		t.Errorf("dated %s before the reading, want at most the drift of a minute", late)
	}
	if other := distances.EarliestOf(ReadingAt(9, ahead+sent+long), sent, sent+long); other != sent {
		t.Errorf("another process is dated %s after its request", other-sent)
	}
	if none := distances.EarliestOf(Reading{}, sent, sent+long); none != sent {
		t.Errorf("an answer without a reading is dated %s after its request", none-sent)
	}
}

// TestReadingFromTheFutureIsNotBelieved guards against proofs that count as new for ever after the own clock stood still.
func TestReadingFromTheFutureIsNotBelieved(t *testing.T) {
	var distances Distances
	distances.EarliestOf(ReadingAt(7, time.Minute), time.Minute, time.Minute)
	sent := time.Minute + time.Second
	remote := ReadingAt(7, 2*time.Minute) // the own clock stood still for 59 s
	if earliest := distances.EarliestOf(remote, sent, sent+time.Second); earliest != sent {
		t.Errorf("dated %s after its request", earliest-sent)
	}
}

// TestKnownOriginsAreBounded checks that processes that come and go take no memory.
func TestKnownOriginsAreBounded(t *testing.T) {
	var distances Distances
	for number := range 10 * maxOrigins {
		now := time.Duration(number) * time.Second
		distances.EarliestOf(ReadingAt(uint64(number+1), now), now, now)
	}
	if len(distances.known) != maxOrigins {
		t.Errorf("%d processes are known, want %d", len(distances.known), maxOrigins)
	}
}

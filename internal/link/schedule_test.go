package link

import (
	"math/rand/v2"
	"testing"
	"time"
)

// answerKind is a kind of answer that leaves over a narrow link.
type answerKind struct {
	urgency float64
	bytes   int
	// left is what is left of its target when the answer is ready.
	left  time.Duration
	share float64
}

// answerKinds are large answers of reads, and small ones of bookings, which are more urgent.
var answerKinds = []answerKind{{0, 5400, 250 * time.Millisecond, 0.6}, {1, 1900, 120 * time.Millisecond, 0.4}}

// leaving is an answer on its way.
type leaving struct {
	kind int
	turn *Turn
}

// playAnswers lets answers become ready by chance at a rate, on a link that the schedule orders,
// and returns the share of each kind that leaves in time.
func playAnswers(perSecond float64, kinds []answerKind) []float64 {
	random := rand.New(rand.NewPCG(3, 3))
	schedule := NewSchedule(megabits)
	ready, timely := make([]float64, len(kinds)), make([]float64, len(kinds))
	waiting := make(map[*Turn]leaving)
	left := func(answer leaving, at time.Duration) {
		if at <= answer.turn.Target {
			timely[answer.kind]++
		}
	}
	for now := time.Duration(0); now < 30*time.Second; {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		for {
			at := max(0, schedule.busyUntil-ahead)
			if at > now {
				break
			}
			turn, _ := schedule.Next(at)
			if turn == nil {
				break
			}
			left(waiting[turn], at)
			delete(waiting, turn)
		}
		kind := 0
		if random.Float64() > kinds[0].share {
			kind = 1
		}
		answer := leaving{kind: kind, turn: &Turn{Bytes: kinds[kind].bytes, Urgency: kinds[kind].urgency, Target: now + kinds[kind].left}}
		ready[kind]++
		if schedule.Ask(now, answer.turn) {
			left(answer, now)
		} else {
			waiting[answer.turn] = answer
		}
	}
	inTime := make([]float64, len(kinds))
	for kind := range kinds {
		inTime[kind] = timely[kind] / ready[kind]
	}
	return inTime
}

// TestUrgentAnswersLeaveFirst: while nine tenths of the link are in use for seconds, with bursts
// beyond it, bookings leave in time behind reads that are three times as large. Without
// urgency, first come first served, they waited for them.
func TestUrgentAnswersLeaveFirst(t *testing.T) {
	const perSecond = 60
	byUrgency := playAnswers(perSecond, answerKinds)
	alike := []answerKind{answerKinds[0], answerKinds[1]}
	alike[0].urgency, alike[1].urgency = 0, 0
	alike[0].left = alike[1].left
	firstCome := playAnswers(perSecond, alike)
	if byUrgency[1] < 0.99 {
		t.Errorf("%.3f of the bookings leave in time, first come first served %.3f", byUrgency[1], firstCome[1])
	}
	if firstCome[1] > 0.97 {
		t.Errorf("first come first served %.3f of the bookings leave in time: the test does not fill the link", firstCome[1])
	}
}

// TestNobodyWaitsForever: under more than the link carries for a while, a less urgent answer
// leaves once it has waited for longestTurn, before urgent ones that have not.
func TestNobodyWaitsForever(t *testing.T) {
	schedule := NewSchedule(megabits)
	schedule.Passed(0, 20_000)
	patient := &Turn{Bytes: 1000, Target: time.Second}
	if schedule.Ask(0, patient) {
		t.Fatal("the link is full, and the turn came at once")
	}
	now := longestTurn + 10*time.Millisecond
	schedule.Ask(now, &Turn{Bytes: 1000, Urgency: 1, Target: now + time.Second})
	if next, _ := schedule.Next(now); next != patient {
		t.Errorf("the turn of %+v comes first", next)
	}
}

// TestLateAnswersLeaveAfterThoseInTime, and they do leave.
func TestLateAnswersLeaveAfterThoseInTime(t *testing.T) {
	schedule := NewSchedule(megabits)
	schedule.Passed(0, 20_000)
	late := &Turn{Bytes: 1000, Urgency: 1, Target: 10 * time.Millisecond}
	timely := &Turn{Bytes: 1000, Target: time.Second}
	schedule.Ask(0, late)
	schedule.Ask(0, timely)
	now := 100 * time.Millisecond
	for _, want := range []*Turn{timely, late} {
		next, _ := schedule.Next(now)
		if next != want {
			t.Errorf("%+v leaves, want %+v", next, want)
		}
		now += 20 * time.Millisecond
	}
	if next, again := schedule.Next(now); next != nil || again != 0 {
		t.Errorf("%+v leaves at %s though none waits", next, again)
	}
}

// TestLinkIsNotFilledBeyondItsRate: what leaves in a second takes no more than the link carries.
func TestLinkIsNotFilledBeyondItsRate(t *testing.T) {
	schedule := NewSchedule(megabits)
	for range 100 {
		schedule.Ask(0, &Turn{Bytes: 5000, Target: time.Second})
	}
	sent := 0
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		for {
			turn, _ := schedule.Next(now)
			if turn == nil {
				break
			}
			sent += turn.Bytes
		}
	}
	if bound := megabits * mega / bitsOfByte; float64(sent) > bound || float64(sent) < 0.85*bound {
		t.Errorf("%d bytes left in a second, the link carries %.0f", sent, bound)
	}
	unbounded := NewSchedule(0)
	for range 100 {
		if !unbounded.Ask(0, &Turn{Bytes: 1 << 20}) {
			t.Fatal("a link without a bound makes answers wait")
		}
	}
}

// playLong lets short answers and parts of long ones become ready at a link, and returns the share
// of the short ones that leave in time and how many long bytes left.
func playLong(bulk bool) (timely float64, longBytes int) {
	const (
		wide  = 5.1
		part  = 8 << 10
		parts = 11
	)
	random := rand.New(rand.NewPCG(9, 9))
	schedule := NewSchedule(wide)
	shorts, inTime := 0.0, 0.0
	short := make(map[*Turn]bool)
	left := func(turn *Turn, at time.Duration) {
		switch {
		case !short[turn]:
			longBytes += turn.Bytes
		case at <= turn.Target:
			inTime++
		}
	}
	for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
		for at := max(0, schedule.busyUntil-ahead); at <= now; at = max(0, schedule.busyUntil-ahead) {
			turn, _ := schedule.Next(at)
			if turn == nil {
				break
			}
			left(turn, at)
		}
		ask := func(turn *Turn) {
			if schedule.Ask(now, turn) {
				left(turn, now)
			}
		}
		if random.Float64() < 0.06 {
			turn := &Turn{Bytes: 2000, Urgency: 0.5, Target: now + 60*time.Millisecond}
			short[turn] = true
			shorts++
			ask(turn)
		}
		if random.Float64() < 0.002 {
			for range parts {
				ask(&Turn{Bytes: part, Urgency: 0.9, Target: now + 900*time.Millisecond, Bulk: bulk})
			}
		}
	}
	return inTime / shorts, longBytes
}

// TestLongMessagesShareTheLink: parts of long answers that are more urgent do not hold short ones
// up, and leave all the same. As turns like any other they did.
func TestLongMessagesShareTheLink(t *testing.T) {
	mixed, _ := playLong(false)
	timely, longBytes := playLong(true)
	if timely < 0.99 || mixed > 0.97 {
		t.Errorf("%.3f of the short answers leave in time, %.3f where long ones are turns like any other", timely, mixed)
	}
	if longBytes < 9_000_000 {
		t.Errorf("%d bytes of long answers left", longBytes)
	}
}

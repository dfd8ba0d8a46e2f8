package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	// redialPause is the wait after a keeper could not be reached or its connection broke.
	redialPause = 300 * time.Millisecond
	// placeReadBuffer is the buffer of a connection about places, in bytes: messages are short,
	// and a keeper has a connection of each gateway.
	placeReadBuffer = 1 << 10
	// suspectTime is how long a keeper that gave no answer in time is not asked.
	suspectTime = 500 * time.Millisecond
	// affordableShare is the share of a request's target that an ask may cost. A place saves
	// some of the wait in a server's queue; behind full links the answer costs more than
	// that.
	affordableShare = 0.02
	// probeInterval is the time between two asks of a keeper that answers too slowly for all
	// others.
	probeInterval = 250 * time.Millisecond
	// answerSmoothing is the weight of the newest answer in the mean time to one.
	answerSmoothing = 0.1
)

// placeLink is the connection to one keeper. It is safe for concurrent use.
type placeLink struct {
	address string
	// local takes messages where this gateway is the keeper; nil elsewhere.
	local   func(message.PlaceRequest)
	options wire.Options
	name    string
	log     *logrus.Entry
	mutex   sync.Mutex
	// closed is true once the gateway on the other end is a keeper no longer, and cancel ends
	// the connection to it; nil while there is none.
	closed bool
	cancel context.CancelFunc
	// outgoing is that of the open connection; nil while there is none.
	outgoing *outbox[outgoingPlace]
	dialing  bool
	// unreachable is true once it was logged that the keeper is out of reach.
	unreachable bool
	redialAt    time.Time
	suspect     time.Time
	last        uint32
	// answerTime is the mean time until a first answer, and probedAt when one was asked for
	// last.
	answerTime time.Duration
	probedAt   time.Time
	// pending takes the answers to each ask.
	pending map[uint32]chan message.PlaceAnswer
}

// outgoingPlace is an ask or an end.
type outgoingPlace struct {
	ask *message.PlaceAsk
	end *message.PlaceEnd
}

// answersOfAsk is how many answers one ask may get: that it waits, and the verdict.
const answersOfAsk = 4

// answeredAfter notes how long a first answer took.
func (l *placeLink) answeredAfter(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answerTime += time.Duration(answerSmoothing * float64(took-l.answerTime))
}

// affordable reports whether an answer is expected soon enough for a request with a target.
// The mutex must be held.
func (l *placeLink) affordable(target time.Duration) bool {
	now := time.Now()
	if float64(l.answerTime) > affordableShare*float64(target) && now.Sub(l.probedAt) < probeInterval {
		return false
	}
	l.probedAt = now
	return true
}

// ask sends an ask, and returns its number and where its answers come; false while the
// keeper is out of reach, or answers too slowly for the target of the request.
func (l *placeLink) ask(ask message.PlaceAsk, target time.Duration) (uint32, <-chan message.PlaceAnswer, bool) {
	l.mutex.Lock()
	if l.outgoing == nil && l.local == nil || time.Now().Before(l.suspect) || !l.affordable(target) {
		l.mutex.Unlock()
		return 0, nil, false
	}
	l.last++
	ask.Number = l.last
	answers := make(chan message.PlaceAnswer, answersOfAsk)
	l.pending[ask.Number] = answers
	l.mutex.Unlock()
	l.send(outgoingPlace{ask: &ask})
	return ask.Number, answers, true
}

// forget ends the wait for answers to an ask.
func (l *placeLink) forget(number uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, number)
}

// end gives a place back.
func (l *placeLink) end(end message.PlaceEnd) { l.send(outgoingPlace{end: &end}) }

// noAnswer notes that an ask was not answered in time.
func (l *placeLink) noAnswer() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.suspect = time.Now().Add(suspectTime)
}

func (l *placeLink) send(outgoing outgoingPlace) {
	if l.local != nil {
		l.local(requestOf([]outgoingPlace{outgoing}))
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outgoing != nil {
		l.outgoing.add([]outgoingPlace{outgoing})
	}
}

func requestOf(batch []outgoingPlace) message.PlaceRequest {
	var request message.PlaceRequest
	for _, each := range batch {
		if each.ask != nil {
			request.Asks = append(request.Asks, *each.ask)
		} else {
			request.Ends = append(request.Ends, *each.end)
		}
	}
	return request
}

// answered hands answers to those who wait for them.
func (l *placeLink) answered(answers []message.PlaceAnswer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.suspect = time.Time{}
	for _, answer := range answers {
		waiting, found := l.pending[answer.Number]
		if !found {
			continue
		}
		select {
		case waiting <- answer:
		default:
		}
	}
}

// connect opens the connection in the background if there is none.
func (l *placeLink) connect(ctx context.Context, group *conc.WaitGroup) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.local != nil || l.outgoing != nil || l.dialing || l.closed || time.Now().Before(l.redialAt) || ctx.Err() != nil {
		return
	}
	l.dialing = true
	ctx, l.cancel = context.WithCancel(ctx)
	group.Go(func() { l.follow(ctx) })
}

// close ends the connection for good.
func (l *placeLink) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	if l.cancel != nil {
		l.cancel()
	}
}

// follow keeps one connection until it breaks. Asks that wait get no answer then.
func (l *placeLink) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.broken()
	connection, err := wire.Dial(ctx, l.address, l.options)
	if err != nil {
		l.noteUnreachable(err)
		return
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, connection.Close)()
	if err := connection.Send(ctx, &message.Hello{Purpose: message.PurposePlaces, From: l.name}); err != nil {
		l.noteUnreachable(err)
		return
	}
	var writing conc.WaitGroup
	defer writing.Wait()
	defer cancel()
	outgoing := newOutbox[outgoingPlace]()
	writing.Go(func() {
		defer connection.Close()
		outgoing.run(ctx, func(batch []outgoingPlace) error {
			request := requestOf(batch)
			return connection.Send(ctx, &request)
		})
	})
	l.opened(outgoing)
	for {
		var reply message.PlaceReply
		if connection.Receive(&reply) != nil {
			return
		}
		l.answered(reply.Answers)
	}
}

// noteUnreachable logs that the keeper could not be reached, once until it was.
func (l *placeLink) noteUnreachable(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unreachable || l.closed {
		return
	}
	l.unreachable = true
	telemetry.WithError(l.log, telemetry.EventPeerUnreachable, err).WithField(telemetry.FieldAddress, l.address).
		Warn("keeper of places out of reach")
}

func (l *placeLink) opened(outgoing *outbox[outgoingPlace]) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outgoing, l.dialing, l.unreachable = outgoing, false, false
	telemetry.With(l.log, telemetry.EventPeerReached).WithField(telemetry.FieldAddress, l.address).Info("keeper of places reached")
}

// broken tells those who wait that no answer comes.
func (l *placeLink) broken() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outgoing != nil && !l.closed {
		telemetry.With(l.log, telemetry.EventPeerUnreachable).WithField(telemetry.FieldAddress, l.address).
			WithField("waiting", len(l.pending)).Warn("connection to a keeper of places lost")
	}
	l.cancel()
	l.outgoing, l.dialing, l.cancel = nil, false, nil
	l.redialAt = time.Now().Add(redialPause)
	for number, waiting := range l.pending {
		close(waiting)
		delete(l.pending, number)
	}
}

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	// redialPause is the delay after a failed connection attempt or a lost connection.
	redialPause = 300 * time.Millisecond
	// placeReadBuffer is the read buffer of a connection for places, in bytes: messages are short, and a
	// keeper has one connection from each gateway.
	placeReadBuffer = 1 << 10
	// suspectTime is how long a keeper that did not answer in time is not asked.
	suspectTime = 500 * time.Millisecond
	// affordableShare is the share of a request's target latency that an ask may take. A place saves part of
	// the wait in a server's queue; behind saturated links the answer takes longer than that.
	affordableShare = 0.02
	// probeInterval is the time between two asks to a keeper that is otherwise too slow to be asked.
	probeInterval = 250 * time.Millisecond
	// answerSmoothing is the weight of the newest sample in the moving average of the answer time.
	answerSmoothing = 0.1
)

// placeLink is the connection to one keeper. It is safe for concurrent use.
type placeLink struct {
	address string
	// local takes messages if this gateway is itself the keeper; nil otherwise.
	local   func(message.PlaceRequest)
	options wire.Options
	name    string
	log     *logrus.Entry
	mutex   sync.Mutex
	// closed is true once the other gateway is no longer a keeper. cancel ends the connection to it; nil while
	// there is none.
	closed bool
	cancel context.CancelFunc
	// outgoing is the outbox of the open connection; nil while there is none.
	outgoing *outbox[outgoingPlace]
	dialing  bool
	// unreachableLogged is true once it was logged that the keeper is unreachable.
	unreachableLogged bool
	redialAt          time.Time
	suspectUntil      time.Time
	lastNumber        uint32
	// answerTime is the moving average of the time until the first answer, and probedAt when an ask was last
	// sent.
	answerTime time.Duration
	probedAt   time.Time
	// pending has the channel for the answers to each ask.
	pending map[uint32]chan message.PlaceAnswer
}

// outgoingPlace is an ask or the end of a place.
type outgoingPlace struct {
	ask *message.PlaceAsk
	end *message.PlaceEnd
}

// maxBufferedAnswers is the buffer for the answers to one ask: that it is queued, which may be repeated,
// and the verdict.
const maxBufferedAnswers = 4

// recordAnswerTime adds a first answer to the average answer time.
func (l *placeLink) recordAnswerTime(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answerTime += time.Duration(answerSmoothing * float64(took-l.answerTime))
}

// affordable reports whether an answer is expected soon enough for a request with a target latency. The mutex
// must be held.
func (l *placeLink) affordable(target time.Duration) bool {
	now := time.Now()
	if float64(l.answerTime) > affordableShare*float64(target) && now.Sub(l.probedAt) < probeInterval {
		return false
	}
	l.probedAt = now
	return true
}

// ask sends an ask, and returns its number and the channel of its answers. It returns false while the keeper
// is unreachable or answers too slowly for the request's target.
func (l *placeLink) ask(ask message.PlaceAsk, target time.Duration) (uint32, <-chan message.PlaceAnswer, bool) {
	l.mutex.Lock()
	if l.outgoing == nil && l.local == nil || time.Now().Before(l.suspectUntil) || !l.affordable(target) {
		l.mutex.Unlock()
		return 0, nil, false
	}
	l.lastNumber++
	ask.Number = l.lastNumber
	answers := make(chan message.PlaceAnswer, maxBufferedAnswers)
	l.pending[ask.Number] = answers
	l.mutex.Unlock()
	l.send(outgoingPlace{ask: &ask})
	return ask.Number, answers, true
}

// forget stops waiting for answers to an ask.
func (l *placeLink) forget(number uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, number)
}

// end returns a place.
func (l *placeLink) end(end message.PlaceEnd) { l.send(outgoingPlace{end: &end}) }

// markSuspect records that an ask was not answered in time.
func (l *placeLink) markSuspect() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.suspectUntil = time.Now().Add(suspectTime)
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

// requestOf returns the message for a batch. It leaves out asks that have ended before they are sent: a keeper
// processes the ends of a message first, and would grant places that nobody returns.
func requestOf(batch []outgoingPlace) message.PlaceRequest {
	var request message.PlaceRequest
	for _, each := range batch {
		if each.ask != nil {
			request.Asks = append(request.Asks, *each.ask)
			continue
		}
		ended := func(ask message.PlaceAsk) bool { return ask.Number == each.end.Number }
		if position := slices.IndexFunc(request.Asks, ended); position >= 0 {
			request.Asks = slices.Delete(request.Asks, position, position+1)
			continue
		}
		request.Ends = append(request.Ends, *each.end)
	}
	return request
}

// deliver passes answers to the requests that wait for them.
func (l *placeLink) deliver(answers []message.PlaceAnswer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.suspectUntil = time.Time{}
	for _, answer := range answers {
		answersOfAsk, found := l.pending[answer.Number]
		if !found {
			continue
		}
		select {
		case answersOfAsk <- answer:
		default:
		}
	}
}

// connect opens a connection in the background if there is none.
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

// follow runs one connection until it breaks; pending asks then get no answer.
func (l *placeLink) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.disconnected()
	connection, err := wire.Dial(ctx, l.address, l.options)
	if err != nil {
		l.logUnreachable(err)
		return
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, connection.Close)()
	if err := connection.Send(ctx, &message.Hello{Purpose: message.PurposePlaces, From: l.name}); err != nil {
		l.logUnreachable(err)
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
	l.connected(outgoing)
	for {
		var reply message.PlaceReply
		if connection.Receive(&reply) != nil {
			return
		}
		l.deliver(reply.Answers)
	}
}

// logUnreachable logs that the keeper is unreachable, once until it is reached.
func (l *placeLink) logUnreachable(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unreachableLogged || l.closed {
		return
	}
	l.unreachableLogged = true
	telemetry.WithError(l.log, telemetry.EventPeerUnreachable, err).WithField(telemetry.FieldAddress, l.address).
		Warn("place keeper unreachable")
}

func (l *placeLink) connected(outgoing *outbox[outgoingPlace]) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outgoing, l.dialing, l.unreachableLogged = outgoing, false, false
	telemetry.With(l.log, telemetry.EventPeerReached).WithField(telemetry.FieldAddress, l.address).Info("connected to place keeper")
}

// disconnected records that the connection ended, and releases the requests that wait for answers.
func (l *placeLink) disconnected() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outgoing != nil && !l.closed {
		telemetry.With(l.log, telemetry.EventPeerUnreachable).WithField(telemetry.FieldAddress, l.address).
			WithField("waiting", len(l.pending)).Warn("connection to place keeper lost")
	}
	l.cancel()
	l.outgoing, l.dialing, l.cancel = nil, false, nil
	l.redialAt = time.Now().Add(redialPause)
	for number, answersOfAsk := range l.pending {
		close(answersOfAsk)
		delete(l.pending, number)
	}
}

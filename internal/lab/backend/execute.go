package backend

import (
	"math"
	"os"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/lease"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

// DeadlyRequest is the last segment of the path of a request under which the process ends.
const DeadlyRequest = "deadly"

// crashStatus is the exit status of a process that a request ended.
const crashStatus = 3

// execution is one request on its way through the back end.
type execution struct {
	request  request
	attempt  *attempt
	waiter   *waiter
	run      lease.RunID
	record   record.Execution
	duration time.Duration
	balance  uint64
}

// execute runs one request and returns its answer, or the reason why it did not
// run. An error means that the record could not be written.
func (b *Backend) execute(current request) (answer, backendapi.Refusal, error) {
	executing, refusal := b.admit(current)
	if refusal != "" {
		return answer{}, refusal, b.recordRefusal(current, refusal)
	}
	refusal = b.awaitSlot(executing)
	if refusal == "" {
		refusal = b.begin(executing)
	}
	if refusal != "" {
		b.abandon(executing)
		return answer{}, refusal, b.recordRefusal(current, refusal)
	}
	defer b.finish(executing)
	if err := b.write(executing.record); err != nil {
		return answer{}, "", err
	}
	time.Sleep(executing.duration)
	if executing.request.logicalRequest() == DeadlyRequest {
		os.Exit(crashStatus)
	}
	b.faults.waitWhile(func(fault Fault) bool { return fault.HoldExecutions })
	if err := b.recordFinish(executing); err != nil {
		return answer{}, "", err
	}
	built, err := b.buildAnswer(executing)
	return built, "", err
}

// admit refuses what need not wait for a slot, or enters the queue.
func (b *Backend) admit(current request) (*execution, backendapi.Refusal) {
	refuseAll := b.faults.get().RefuseAll
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if refuseAll {
		return nil, backendapi.RefusalShedding
	}
	if current.overLimit {
		return nil, backendapi.RefusalQueueFull
	}
	if refusal := b.checkLocked(clock.BootTime(), current); refusal != "" {
		return nil, refusal
	}
	if b.config.ShedAbove > 0 && b.queue.queued() >= b.config.ShedAbove {
		return nil, backendapi.RefusalShedding
	}
	arrived, fresh := b.attempts.arrive(current.requestID)
	if !fresh {
		return nil, backendapi.RefusalCancelled
	}
	entering := b.queue.enter()
	if entering == nil {
		b.attempts.end(clock.BootTime(), current.requestID, arrived)
		return nil, backendapi.RefusalQueueFull
	}
	return &execution{request: current, attempt: arrived, waiter: entering}, ""
}

// checkLocked is the check that execution rests on.
func (b *Backend) checkLocked(now time.Duration, current request) backendapi.Refusal {
	if current.passed(now) {
		return backendapi.RefusalDeadline
	}
	if !b.config.Keyed {
		return b.holder.CheckUnkeyed(now)
	}
	if current.key == "" || (!current.fenced && !b.holder.Observed()) {
		return backendapi.RefusalWrongEpoch
	}
	return b.holder.Check(now, current.shard, current.epoch, current.keyHash)
}

func (b *Backend) awaitSlot(waiting *execution) backendapi.Refusal {
	var expired <-chan time.Time
	if deadline := waiting.request.deadline; deadline != 0 {
		timer := time.NewTimer(deadline - clock.BootTime())
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-waiting.waiter.granted:
		return ""
	case <-waiting.attempt.cancelled:
		return backendapi.RefusalCancelled
	case <-expired:
		return backendapi.RefusalDeadline
	}
}

// begin checks, at the moment of execution, that the request may run, and
// applies its effect.
func (b *Backend) begin(starting *execution) backendapi.Refusal {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := clock.BootTime()
	current := starting.request
	if refusal := b.checkLocked(now, current); refusal != "" {
		return refusal
	}
	if _, known := b.balances[current.key]; !known && len(b.balances) >= maxKeys {
		return backendapi.RefusalShedding
	}
	if !b.attempts.start(starting.attempt) {
		return backendapi.RefusalCancelled
	}
	b.applyLocked(now, starting)
	return ""
}

func (b *Backend) applyLocked(now time.Duration, starting *execution) {
	current := starting.request
	b.executions++
	if !isRead(current.method) {
		b.balances[current.key]++
	}
	starting.balance = b.balances[current.key]
	starting.duration = b.serviceTimeLocked(now)
	starting.record = b.newRecord(now, record.ExecutionStart, current)
	starting.record.Number = b.executions
	starting.record.Session = b.holder.Session()
	starting.record.LeaseEndNs = int64(b.holder.LeaseEnd())
	if b.holder.Observed() {
		starting.record.Observed = true
		starting.record.Shard, starting.record.Epoch = 0, 0
		starting.record.LeaseEndNs = math.MaxInt64
	}
	if !b.config.Keyed {
		starting.run = b.holder.BeginUnkeyed()
		return
	}
	starting.run = b.holder.Begin(current.shard, current.keyHash)
	b.leaseLoads.add(current.shard, current.keyHash)
	b.reportLoads.add(current.shard, current.keyHash)
}

// abandon gives back what a request that did not run held.
func (b *Backend) abandon(refused *execution) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.queue.leave(refused.waiter)
	b.attempts.end(clock.BootTime(), refused.request.requestID, refused.attempt)
}

// finish gives back what a request that ran held.
func (b *Backend) finish(finished *execution) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.holder.End(finished.run)
	b.queue.leave(finished.waiter)
	b.attempts.end(clock.BootTime(), finished.request.requestID, finished.attempt)
}

func (b *Backend) buildAnswer(finished *execution) (answer, error) {
	current := finished.request
	body, err := AnswerBody{
		Server:         b.config.ID,
		Incarnation:    b.incarnation,
		Method:         current.method,
		Path:           current.path,
		Key:            current.key,
		RequestID:      current.requestID,
		IdempotencyKey: current.idempotencyKey,
		Execution:      finished.record.Number,
		Balance:        finished.balance,
		Payload:        current.payload,
	}.Encode()
	return answer{requestID: current.requestID, body: body}, err
}

func (b *Backend) newRecord(now time.Duration, kind record.ExecutionKind, current request) record.Execution {
	return record.Execution{
		Kind:           kind,
		Server:         b.config.ID,
		Incarnation:    b.incarnation,
		Service:        b.config.Service,
		Keyed:          b.config.Keyed,
		Shard:          current.shard,
		Epoch:          current.epoch,
		Key:            current.key,
		Request:        current.logicalRequest(),
		Attempt:        current.attempt,
		RequestID:      current.requestID,
		IdempotencyKey: current.idempotencyKey,
		Repeatable:     current.repeatable,
		MonotonicNs:    int64(now),
		UnixNs:         time.Now().UnixNano(),
	}
}

func (b *Backend) recordFinish(finished *execution) error {
	line := finished.record
	line.Kind = record.ExecutionFinish
	line.MonotonicNs = int64(clock.BootTime())
	line.UnixNs = time.Now().UnixNano()
	return b.write(line)
}

func (b *Backend) recordRefusal(refused request, refusal backendapi.Refusal) error {
	line := b.newRecord(clock.BootTime(), record.ExecutionRefuse, refused)
	line.Reason = string(refusal)
	return b.write(line)
}

func (b *Backend) write(line record.Execution) error {
	if b.records == nil {
		return nil
	}
	return b.records.Write(line)
}

package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/scenario/faultproxy"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

func answerScenarios() []Scenario {
	return []Scenario{
		{Name: "cut-answers", Proves: "answers that are cut or reset in the middle reach no caller as whole ones, and nothing runs twice",
			shape: shape{duration: 22 * time.Second, limits: trial.Limits{MaxUnavailable: brokenOutage}}, steps: cutAnswers},
		{Name: "crossed-answers", Proves: "each caller gets the whole answer to its own request when answers arrive late or crossed",
			shape: shape{duration: 16 * time.Second, limits: trial.Limits{MaxUnavailable: brokenOutage}}, steps: crossedAnswers},
		{Name: "slow-network", Proves: "answers in small packets over slow links arrive whole",
			shape: shape{duration: 10 * time.Second}, steps: slowNetwork},
	}
}

const (
	// brokenFor is how long answers are broken in one way.
	brokenFor = 2 * settle
	// brokenLimit is within which requests are served as before once answers
	// are whole again: what the fault cost, connections and health, is back.
	brokenLimit = time.Second
	// brokenOutage is the longest time without success: while every answer of a
	// service is broken, nothing that may not be repeated can succeed, and what
	// is sent after that must.
	brokenOutage = brokenFor + brokenLimit
	// lateBy is how late late answers are, which is longer than callers wait.
	lateBy = 4 * time.Second
)

// broken lets answers be broken in one way for a time, and demands that no
// attempt that is sent later than the limit after it fails.
func (r *run) broken(ctx context.Context, name string, begin, end func() error) error {
	r.Say("%s", name)
	if err := begin(); err != nil {
		return err
	}
	if err := r.sleep(ctx, brokenFor); err != nil {
		return err
	}
	after, err := r.during(ctx, brokenLimit+settle, end)
	if err != nil {
		return err
	}
	r.checks = append(r.checks, recoversIn("recovery_after_"+name, brokenLimit, after, isFailed))
	// What was sent by now must have its answer before the next fault.
	return r.sleep(ctx, settle)
}

// misbehave is broken by a fault of every back end.
func (r *run) misbehave(ctx context.Context, name string, misbehaviour backend.Fault) error {
	return r.broken(ctx, name,
		func() error { return r.setEveryFault(misbehaviour) },
		func() error { return r.setEveryFault(backend.Fault{}) })
}

func toBackEnds(link faultproxy.Link) bool {
	return link.From == faultproxy.Anyone
}

// cutAnswers lets the back ends' connections end in mid-answer in three ways:
// closed after some bytes, reset, and dropped by the back end itself after it
// executed the request. Bounds: requests recover within 1 s of each, and no
// service is without success for longer than a way lasts and that second.
func cutAnswers(ctx context.Context, r *run) error {
	const answerBytes, resetMs, dropped, share = 700, 30, 40, 0.3
	cuts := []faultproxy.Toxic{
		{Name: "cut", Type: faultproxy.ToxicLimitData, Direction: faultproxy.Downstream, Toxicity: share,
			Attributes: faultproxy.Attributes{Bytes: answerBytes}},
		{Name: "reset", Type: faultproxy.ToxicReset, Direction: faultproxy.Downstream, Toxicity: share,
			Attributes: faultproxy.Attributes{TimeoutMs: resetMs}},
	}
	for _, cut := range cuts {
		err := r.broken(ctx, cut.Name,
			func() error { return r.network.Add(cut, toBackEnds) },
			func() error { return r.network.Remove(cut.Name) })
		if err != nil {
			return err
		}
	}
	return r.misbehave(ctx, "dropped", backend.Fault{DropAnswers: dropped})
}

func (r *run) setEveryFault(misbehaviour backend.Fault) error {
	for _, target := range r.Fleet.BackEnds {
		if err := r.setFault(target.Spec.ID, misbehaviour); err != nil {
			return err
		}
	}
	return nil
}

// crossedAnswers lets the back ends hold answers back for longer than callers
// wait, and exchange answers of two requests. Bounds: requests recover within
// 1 s of each, and no service is without success for longer than a way lasts
// and that second.
func crossedAnswers(ctx context.Context, r *run) error {
	const late, crossed = 20, 40
	if err := r.misbehave(ctx, "crossed", backend.Fault{CrossAnswers: crossed}); err != nil {
		return err
	}
	return r.misbehave(ctx, "late", backend.Fault{LateAnswers: late, LateMs: lateBy.Milliseconds()})
}

// slowNetwork slices and slows what the back ends answer.
func slowNetwork(ctx context.Context, r *run) error {
	const sliceBytes, sliceVariation, sliceDelayUs, kilobytesPerSecond = 64, 32, 200, 200
	slow := []faultproxy.Toxic{
		{Name: "slices", Type: faultproxy.ToxicSlicer, Direction: faultproxy.Downstream, Toxicity: 1,
			Attributes: faultproxy.Attributes{AverageSize: sliceBytes, SizeVariation: sliceVariation, Delay: sliceDelayUs}},
		{Name: "narrow", Type: faultproxy.ToxicBandwidth, Direction: faultproxy.Downstream, Toxicity: 1,
			Attributes: faultproxy.Attributes{Rate: kilobytesPerSecond}},
	}
	for _, toxic := range slow {
		if err := r.network.Add(toxic, toBackEnds); err != nil {
			return err
		}
	}
	return r.sleep(ctx, 3*settle)
}

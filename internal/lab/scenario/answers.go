package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/scenario/faultproxy"
)

func answerScenarios() []Scenario {
	return []Scenario{
		{Name: "cut-answers", Proves: "answers that are cut or reset in the middle reach no caller as whole ones, and nothing runs twice",
			shape: shape{duration: 14 * time.Second}, steps: cutAnswers},
		{Name: "crossed-answers", Proves: "each caller gets the whole answer to its own request when answers arrive late or crossed",
			shape: shape{duration: 12 * time.Second}, steps: crossedAnswers},
		{Name: "slow-network", Proves: "answers in small packets over slow links arrive whole",
			shape: shape{duration: 10 * time.Second}, steps: slowNetwork},
	}
}

func toBackEnds(link faultproxy.Link) bool {
	return link.From == faultproxy.Anyone
}

// cutAnswers lets the back ends' connections end in mid-answer in three ways:
// closed after some bytes, reset, and dropped by the back end itself after it
// executed the request.
func cutAnswers(ctx context.Context, r *run) error {
	const answerBytes, resetMs, dropped, share = 700, 30, 40, 0.3
	cuts := []faultproxy.Toxic{
		{Name: "cut", Type: faultproxy.ToxicLimitData, Direction: faultproxy.Downstream, Toxicity: share,
			Attributes: faultproxy.Attributes{Bytes: answerBytes}},
		{Name: "reset", Type: faultproxy.ToxicReset, Direction: faultproxy.Downstream, Toxicity: share,
			Attributes: faultproxy.Attributes{TimeoutMs: resetMs}},
	}
	for _, cut := range cuts {
		r.Say("the network answers with %s", cut.Type)
		if err := r.network.Add(cut, toBackEnds); err != nil {
			return err
		}
		if err := r.sleep(ctx, 2*settle); err != nil {
			return err
		}
		if err := r.network.Remove(cut.Name); err != nil {
			return err
		}
	}
	r.Say("each back end drops %d answers", dropped)
	if err := r.setEveryFault(backend.Fault{DropAnswers: dropped}); err != nil {
		return err
	}
	return r.sleep(ctx, 2*settle)
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
// wait, and exchange answers of two requests.
func crossedAnswers(ctx context.Context, r *run) error {
	const late, lateMs, crossed = 20, 4000, 40
	r.Say("each back end crosses %d answers", crossed)
	if err := r.setEveryFault(backend.Fault{CrossAnswers: crossed}); err != nil {
		return err
	}
	if err := r.sleep(ctx, 2*settle); err != nil {
		return err
	}
	r.Say("each back end answers %d requests late", late)
	if err := r.setEveryFault(backend.Fault{LateAnswers: late, LateMs: lateMs}); err != nil {
		return err
	}
	return r.sleep(ctx, 2*settle)
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

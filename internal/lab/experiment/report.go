package experiment

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Summary is what the command prints as its last line.
type Summary struct {
	Seeds []uint64 `json:"seeds"`
	// Means are over the seeds, by service and strategy.
	Means []Result `json:"means"`
	// Results are the single runs.
	Results []Result `json:"results"`
	// Ahead names where another strategy is better than ours, by service and
	// measure.
	Ahead []Ahead `json:"ahead_of_ours"`
}

// Ahead is one measure in which another strategy is better than ours.
type Ahead struct {
	Service  string  `json:"service"`
	Measure  string  `json:"measure"`
	Strategy string  `json:"strategy"`
	Value    float64 `json:"value"`
	Ours     float64 `json:"ours"`
}

// Summarize computes the means over the seeds and finds where we are behind.
func Summarize(results []Result, seeds []uint64) Summary {
	summary := Summary{Seeds: seeds, Results: results}
	groups := make(map[string][]Result)
	var order []string
	for _, result := range results {
		key := result.Service + "/" + result.Strategy
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], result)
	}
	for _, key := range order {
		summary.Means = append(summary.Means, meanOf(groups[key]))
	}
	summary.Ahead = behind(summary.Means)
	return summary
}

func meanOf(results []Result) Result {
	mean := Result{Deployment: results[0].Deployment, Service: results[0].Service, Strategy: results[0].Strategy}
	count := float64(len(results))
	for _, result := range results {
		mean.Imbalance += result.Imbalance / count
		mean.ImbalanceP99 += result.ImbalanceP99 / count
		mean.Churn += result.Churn / count
		mean.Unavailable += result.Unavailable / count
		mean.Weighted += result.Weighted / count
		mean.P50 += result.P50 / count
		mean.P99 += result.P99 / count
		mean.Requests += result.Requests
		mean.Answered += result.Answered
		mean.NotRun += result.NotRun
		mean.Unknown += result.Unknown
		mean.Moves += result.Moves
	}
	mean.Goodput = float64(mean.Answered) / float64(max(mean.Requests, 1))
	return mean
}

// measures are those in which strategies are compared; lower is better.
var measures = []struct {
	name  string
	value func(Result) float64
}{
	{"imbalance", func(r Result) float64 { return r.Imbalance }},
	{"churn_per_hour", func(r Result) float64 { return r.Churn }},
	{"unavailable_key_seconds", func(r Result) float64 { return r.Unavailable }},
	{"weighted", func(r Result) float64 { return r.Weighted }},
	{"p50_ms", func(r Result) float64 { return r.P50 }},
	{"p99_ms", func(r Result) float64 { return r.P99 }},
	{"lost_goodput", func(r Result) float64 { return 1 - r.Goodput }},
}

func behind(means []Result) []Ahead {
	ours := make(map[string]Result)
	for _, mean := range means {
		if mean.Strategy == Ours {
			ours[mean.Service] = mean
		}
	}
	var ahead []Ahead
	for _, measure := range measures {
		for _, mean := range means {
			own := measure.value(ours[mean.Service])
			if measure.value(mean) < own {
				ahead = append(ahead, Ahead{
					Service: mean.Service, Measure: measure.name, Strategy: mean.Strategy, Value: measure.value(mean), Ours: own,
				})
			}
		}
	}
	return ahead
}

// Table returns the means as text, and below it where another strategy is
// ahead of ours.
func (s Summary) Table() string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tstrategy\timbalance\tp99/mean\tchurn/h\tmoves\tunavailable s\tweighted\tp50 ms\tp99 ms\tgoodput\tnot run\tunknown\t")
	for _, r := range s.Means {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.3f\t%.1f\t%.1f\t%.5f\t%d\t%d\t\n",
			r.Service, r.Strategy, r.Imbalance, r.ImbalanceP99, r.Churn, r.Moves, r.Unavailable, r.Weighted, r.P50, r.P99, r.Goodput, r.NotRun, r.Unknown)
	}
	// The writer is a strings.Builder, which takes everything.
	_ = table.Flush()
	text.WriteString("\nAhead of ours:\n")
	for _, a := range s.Ahead {
		fmt.Fprintf(&text, "  %s: %s in %s: %.4g, ours %.4g\n", a.Service, a.Strategy, a.Measure, a.Value, a.Ours)
	}
	return text.String()
}

package loadplay

import (
	"io"

	"marigoldshunt/internal/plot"
)

// WriteSVG writes two plots: the earned fraction of the worth by second for each policy, and
// the tokens served to each account by second for the last policy.
func WriteSVG(w io.Writer, results []*Result) error {
	var worthCurves, tokenCurves []plot.Curve
	for _, r := range results {
		worthCurves = append(worthCurves, plot.Curve{Name: r.Policy, Values: r.worthBySecond()})
	}
	lastResult := results[len(results)-1]
	for _, a := range lastResult.load.Accounts {
		tokenCurves = append(tokenCurves, plot.Curve{Name: a.Name, Values: lastResult.servedTokens[a.Name][:int(lastResult.load.Length.Seconds())]})
	}
	return plot.WriteSVG(w, []plot.Plot{
		{Title: "part of the owed worth that was earned, by second of arrival", Unit: "s", Curves: worthCurves},
		{Title: "tokens served by account and second, policy " + lastResult.Policy, Unit: "s", Curves: tokenCurves},
	})
}

func (r *Result) worthBySecond() []float64 {
	out := make([]float64, int(r.load.Length.Seconds()))
	for i := range out {
		if r.offeredWorth[i] > 0 {
			out[i] = r.earnedWorth[i] / r.offeredWorth[i]
		}
	}
	return out
}

package load

import (
	"context"
	"net/http"
)

// engineCounters is the part of an engine's /debug/vars that is read.
type engineCounters struct {
	Engine struct {
		GeneratedTokens int `json:"generated_tokens"`
	} `json:"standin_engine"`
}

// engineWork returns the tokens that each engine has generated. An engine that
// does not answer is left out.
func engineWork(ctx context.Context, client *http.Client, engines []string) map[string]int {
	work := make(map[string]int)
	for _, base := range engines {
		var counters engineCounters
		if getJSON(ctx, client, base+"/debug/vars", &counters) == nil {
			work[base] = counters.Engine.GeneratedTokens
		}
	}
	return work
}

// compareWork fills in the work from the engines' counts before and after. When
// an engine is gone at the end its work is unknown, and the share counts only
// what the others did.
func (r *Report) compareWork(before, after map[string]int) {
	for base, tokens := range after {
		r.Work.Generated += tokens - before[base]
	}
	if r.Work.Generated > r.Work.Answered {
		r.Work.WastedShare = 1 - float64(r.Work.Answered)/float64(r.Work.Generated)
	}
}

package model

import (
	"fmt"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// BenchmarkStep measures one step with a full batch.
func BenchmarkStep(b *testing.B) {
	e := New(DefaultSettings())
	for i := range e.settings.MaxBatch {
		e.Submit(0, Request{ID: types.RequestID(fmt.Sprint(i)), PromptTokens: 64, OutputTokens: 1 << 30})
	}
	e.settings.KVTokens = 1 << 40
	b.ReportAllocs()
	for b.Loop() {
		at, _ := e.StepEnd()
		e.Step(at)
	}
}

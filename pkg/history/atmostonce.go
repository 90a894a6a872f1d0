package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the search for an order of one history.
const checkTimeout = 30 * time.Second

// KeyOperationKind says what an operation on a key was.
type KeyOperationKind string

const (
	// KeyExecuted is a run of the key's request on an upstream.
	KeyExecuted KeyOperationKind = "executed"
	// KeyAnswered is an answer that a caller got for the key.
	KeyAnswered KeyOperationKind = "answered"
	// KeyNotRun is a refusal that said that the key had not run.
	KeyNotRun KeyOperationKind = "not_run"
)

// KeyOperation is one operation on a key, from its call to its return.
type KeyOperation struct {
	Key    string
	Kind   KeyOperationKind
	Client int
	// Result is the outcome of the execution, or the answer.
	Result string
	Call   time.Duration
	Return time.Duration
}

// onceState is the state of one key.
type onceState struct {
	executed bool
	result   string
}

// AtMostOnce checks that each key was executed at most once, that every answer
// is the result of that execution, and that no key was said not to have run
// after it had. It returns one violation for each key without a legal order, and
// the number of operations checked.
func AtMostOnce(operations []KeyOperation) ([]Violation, int) {
	byKey := make(map[string][]porcupine.Operation)
	for _, operation := range operations {
		byKey[operation.Key] = append(byKey[operation.Key], porcupine.Operation{
			ClientId: operation.Client,
			Input:    operation,
			Call:     int64(operation.Call),
			Return:   int64(operation.Return),
		})
	}
	var violations []Violation
	for key, history := range byKey {
		result := porcupine.CheckOperationsTimeout(onceModel, history, checkTimeout)
		if result != porcupine.Ok {
			violations = append(violations, Violation{key, "at most one execution with one result", string(result)})
		}
	}
	return violations, len(operations)
}

// onceModel is a register that is written at most once.
var onceModel = porcupine.Model{
	Init: func() any { return onceState{} },
	Step: func(state, input, _ any) (bool, any) {
		return stepOnce(state.(onceState), input.(KeyOperation))
	},
}

func stepOnce(state onceState, operation KeyOperation) (bool, onceState) {
	switch operation.Kind {
	case KeyExecuted:
		return !state.executed, onceState{executed: true, result: operation.Result}
	case KeyAnswered:
		return state.executed && state.result == operation.Result, state
	case KeyNotRun:
		return !state.executed, state
	default:
		return false, state
	}
}

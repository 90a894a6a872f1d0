package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout limits the linearizability check of one key. A check
// that takes longer counts as a violation.
const linearizabilityTimeout = 30 * time.Second

// KeyOperationKind is the kind of an operation on an idempotency key.
type KeyOperationKind string

const (
	// KeyExecuted is an execution of the key's request on an upstream.
	KeyExecuted KeyOperationKind = "executed"
	// KeyAnswered is an answer that a caller received for the key.
	KeyAnswered KeyOperationKind = "answered"
	// KeyNotRun is a refusal which states that the request has not run.
	KeyNotRun KeyOperationKind = "not_run"
)

// KeyOperation is one operation on an idempotency key, from its call to its
// return.
type KeyOperation struct {
	Key    string
	Kind   KeyOperationKind
	Client int
	// Result is the result of the execution, or the answer.
	Result string
	Call   time.Duration
	Return time.Duration
}

// keyState is the state of one key.
type keyState struct {
	executed bool
	result   string
}

// AtMostOnce checks that each key was executed at most once, that every answer
// is the result of that execution, and that no caller received the run state
// NotRun after the execution. It returns one violation for each key whose
// operations are not linearizable, and the number of operations checked.
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
		result := porcupine.CheckOperationsTimeout(keyModel, history, linearizabilityTimeout)
		if result != porcupine.Ok {
			violations = append(violations, Violation{key, "at most one execution with one result", string(result)})
		}
	}
	return violations, len(operations)
}

// keyModel models a key as a register that is written at most once.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		return stepKey(state.(keyState), input.(KeyOperation))
	},
}

// stepKey reports whether the operation is legal in the state, and returns the
// next state.
func stepKey(state keyState, operation KeyOperation) (bool, keyState) {
	switch operation.Kind {
	case KeyExecuted:
		return !state.executed, keyState{executed: true, result: operation.Result}
	case KeyAnswered:
		return state.executed && state.result == operation.Result, state
	case KeyNotRun:
		return !state.executed, state
	default:
		return false, state
	}
}

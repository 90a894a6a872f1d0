package rules

import (
	"fmt"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// maxNodes bounds the size of one expression in syntax nodes.
const maxNodes = 500

// maxBytes bounds the length of one expression, and with it the depth of its
// brackets.
const maxBytes = 4096

// Rule is one named when expression.
type Rule struct {
	Name string
	When string
}

// List is a compiled rule list.
type List struct {
	rules []compiled
}

type compiled struct {
	rule    Rule
	program *vm.Program
}

// Compile compiles the rules in order. The failure has code
// InvalidConfiguration and names the first bad rule.
func Compile(list []Rule) (*List, error) {
	result := &List{rules: make([]compiled, 0, len(list))}
	for _, rule := range list {
		program, err := compileExpression(rule.When)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidConfiguration, err, fmt.Sprintf("rule %q: when", rule.Name))
		}
		result.rules = append(result.rules, compiled{rule: rule, program: program})
	}
	return result, nil
}

// Check compiles one expression and returns why it cannot stand as a when
// expression, or nil.
func Check(when string) error {
	_, err := compileExpression(when)
	return err
}

// compileExpression compiles one boolean expression over Attributes.
func compileExpression(source string) (program *vm.Program, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fault.New(fault.InvalidConfiguration, fmt.Sprintf("expression: %v", r))
		}
	}()
	if len(source) > maxBytes {
		return nil, fault.New(fault.InvalidConfiguration, fmt.Sprintf("has %d bytes, at most %d are allowed", len(source), maxBytes))
	}
	program, compileErr := expr.Compile(source, append(options(), expr.AsBool())...)
	if compileErr != nil {
		return nil, fault.New(fault.InvalidConfiguration, compileErr.Error())
	}
	return program, nil
}

// options returns the language: the attributes, and the built-in functions
// except those that read the clock or the machine's time zone.
func options() []expr.Option {
	return []expr.Option{
		expr.Env(Attributes{}),
		expr.MaxNodes(maxNodes),
		expr.DisableBuiltin("now"),
		expr.DisableBuiltin("date"),
		expr.DisableBuiltin("duration"),
		expr.DisableBuiltin("timezone"),
	}
}

// Len returns the number of rules.
func (l *List) Len() int { return len(l.rules) }

// Match returns the index of the first rule that holds for the request. A rule
// whose evaluation fails does not hold.
func (l *List) Match(attributes Attributes) (index int, ok bool) {
	// One environment and one machine serve all rules of the request.
	var environment any = attributes
	var machine vm.VM
	for i := range l.rules {
		held, err := l.rules[i].evaluate(&machine, environment)
		if err == nil && held {
			return i, true
		}
	}
	return 0, false
}

// evaluate runs the rule's program.
func (c *compiled) evaluate(machine *vm.VM, environment any) (bool, error) {
	value, err := machine.Run(c.program, environment)
	if err != nil {
		return false, fault.New(fault.InvalidConfiguration, err.Error())
	}
	held, _ := value.(bool)
	return held, nil
}

// Reason returns the first line of why an expression was refused.
func Reason(err error) string {
	message := fault.From(err).Message
	line, _, _ := strings.Cut(message, "\n")
	return line
}

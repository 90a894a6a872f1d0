package rules

import (
	"fmt"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// maxNodes is the maximum number of syntax nodes in one expression.
const maxNodes = 500

// maxBytes is the maximum length of one expression. It also limits how deeply
// brackets can be nested.
const maxBytes = 4096

// Rule is a named when expression.
type Rule struct {
	Name string
	When string
}

// List is a compiled rule list.
type List struct {
	rules []compiledRule
}

type compiledRule struct {
	rule    Rule
	program *vm.Program
}

// Compile compiles the rules in order. The error has code InvalidConfiguration
// and names the first invalid rule.
func Compile(list []Rule) (*List, error) {
	result := &List{rules: make([]compiledRule, 0, len(list))}
	for _, rule := range list {
		program, err := compileExpression(rule.When)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidConfiguration, err, fmt.Sprintf("rule %q: when", rule.Name))
		}
		result.rules = append(result.rules, compiledRule{rule: rule, program: program})
	}
	return result, nil
}

// Check returns an error if the text is not a valid when expression.
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

// options returns the compiler options. They allow the attributes and all
// built-in functions except those that read the clock or the local time zone.
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

// Match returns the index of the first rule that matches the request. A rule
// whose evaluation fails does not match.
func (l *List) Match(attributes Attributes) (index int, ok bool) {
	// One environment and one virtual machine are reused for all rules.
	var environment any = attributes
	var machine vm.VM
	for i := range l.rules {
		matched, err := l.rules[i].evaluate(&machine, environment)
		if err == nil && matched {
			return i, true
		}
	}
	return 0, false
}

// evaluate runs the compiled expression of the rule.
func (c *compiledRule) evaluate(machine *vm.VM, environment any) (bool, error) {
	value, err := machine.Run(c.program, environment)
	if err != nil {
		return false, fault.New(fault.InvalidConfiguration, err.Error())
	}
	matched, _ := value.(bool)
	return matched, nil
}

// Reason returns the first line of the message of a compile or evaluation error.
func Reason(err error) string {
	message := fault.From(err).Message
	line, _, _ := strings.Cut(message, "\n")
	return line
}

package rules

import (
	"fmt"
	"strconv"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"
)

// Explanation says why the first rule that holds is the first.
type Explanation struct {
	// Rules are the rules that were consulted, in order; the last is the winner
	// if there is one.
	Rules []RuleExplanation
	// Matched says that the last consulted rule holds.
	Matched bool
}

// RuleExplanation says why one rule holds or not.
type RuleExplanation struct {
	Index   int
	Name    string
	Matched bool
	// Failure is why the expression could not be evaluated, if so. Such a rule
	// does not hold.
	Failure string
	// Conditions are the parts of the expression between its and, or and not.
	Conditions []Condition
}

// Condition is one boolean part of an expression.
type Condition struct {
	Source string
	Value  string
	// Operands are the values that the condition compares, literals apart.
	Operands []Operand
}

// Operand is one value within a condition.
type Operand struct {
	Source string
	Value  string
}

// Explain evaluates the rules in order up to the first that holds.
func (l *List) Explain(attributes Attributes) Explanation {
	var explanation Explanation
	for i := range l.rules {
		rule := l.rules[i].explain(i, attributes)
		explanation.Rules = append(explanation.Rules, rule)
		if rule.Matched {
			explanation.Matched = true
			break
		}
	}
	return explanation
}

// explain evaluates one rule and its conditions.
func (c *compiled) explain(index int, attributes Attributes) RuleExplanation {
	held, err := c.evaluate(&vm.VM{}, attributes)
	result := RuleExplanation{Index: index, Name: c.rule.Name, Matched: held}
	if err != nil {
		result.Failure = Reason(err)
	}
	tree, err := parser.Parse(c.rule.When)
	if err != nil {
		return result
	}
	for _, node := range conditions(tree.Node) {
		result.Conditions = append(result.Conditions, explainCondition(node, attributes))
	}
	return result
}

// conditions splits an expression at and, or and not.
func conditions(node ast.Node) []ast.Node {
	switch n := node.(type) {
	case *ast.BinaryNode:
		if isLogical(n.Operator) {
			return append(conditions(n.Left), conditions(n.Right)...)
		}
	case *ast.UnaryNode:
		if n.Operator == "not" || n.Operator == "!" {
			return conditions(n.Node)
		}
	}
	return []ast.Node{node}
}

// isLogical reports whether the operator joins conditions.
func isLogical(operator string) bool {
	switch operator {
	case "and", "&&", "or", "||":
		return true
	}
	return false
}

// explainCondition evaluates a condition and the values that it compares.
func explainCondition(node ast.Node, attributes Attributes) Condition {
	condition := Condition{Source: node.String(), Value: valueOf(node, attributes)}
	binary, ok := node.(*ast.BinaryNode)
	if !ok {
		return condition
	}
	for _, side := range []ast.Node{binary.Left, binary.Right} {
		if !isLiteral(side) {
			condition.Operands = append(condition.Operands, Operand{Source: side.String(), Value: valueOf(side, attributes)})
		}
	}
	return condition
}

// isLiteral reports whether the node says its value itself.
func isLiteral(node ast.Node) bool {
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.NilNode, *ast.ArrayNode, *ast.ConstantNode:
		return true
	}
	return false
}

// valueOf evaluates a node and writes its value, or why it has none.
func valueOf(node ast.Node, attributes Attributes) string {
	program, err := expr.Compile(node.String(), options()...)
	if err != nil {
		return "unknown"
	}
	value, err := expr.Run(program, attributes)
	if err != nil {
		return "failed"
	}
	if text, ok := value.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(value)
}

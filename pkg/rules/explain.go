package rules

import (
	"fmt"
	"strconv"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"
)

// Explanation describes how a request was matched against the rules.
type Explanation struct {
	// Rules are the evaluated rules, in order. If Matched is true, the last one
	// is the matching rule.
	Rules []RuleExplanation
	// Matched reports whether a rule matches the request.
	Matched bool
}

// RuleExplanation describes why one rule matches or does not match.
type RuleExplanation struct {
	Index   int
	Name    string
	Matched bool
	// Failure is the evaluation error, if any. A rule that cannot be evaluated
	// does not match.
	Failure string
	// Conditions are the operands of the logical operators and, or and not.
	Conditions []Condition
}

// Condition is one boolean subexpression.
type Condition struct {
	Source string
	Value  string
	// Operands are the compared values, except literals.
	Operands []Operand
}

// Operand is one compared value of a condition.
type Operand struct {
	Source string
	Value  string
}

// Explain evaluates the rules in order, up to and including the first match.
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

// explain evaluates one rule and each of its conditions.
func (c *compiledRule) explain(index int, attributes Attributes) RuleExplanation {
	matched, err := c.evaluate(&vm.VM{}, attributes)
	result := RuleExplanation{Index: index, Name: c.rule.Name, Matched: matched}
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

// conditions splits an expression at the logical operators and, or and not.
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

// isLogical reports whether the operator is a binary logical operator.
func isLogical(operator string) bool {
	switch operator {
	case "and", "&&", "or", "||":
		return true
	}
	return false
}

// explainCondition evaluates a condition and its operands.
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

// isLiteral reports whether the node is a literal.
func isLiteral(node ast.Node) bool {
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.NilNode, *ast.ArrayNode, *ast.ConstantNode:
		return true
	}
	return false
}

// valueOf evaluates a node and returns its value as text: "unknown" if the node
// does not compile, "failed" if its evaluation fails.
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

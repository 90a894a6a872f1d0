package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/rules"
)

// newExplainCommand returns the command that shows how a document classifies one
// request.
func newExplainCommand() *cobra.Command {
	var flags requestFlags
	command := &cobra.Command{
		Use:   "explain FILE",
		Short: "Show which rule matches a request, and why earlier rules do not",
		Long: `Classify one request with a configuration document. Prints every evaluated rule
with the values of its conditions, then the decision of the matching rule. Exits
with 1 if no rule matches. The subcommand placement asks a running instance instead.`,
		Example: `  umberctl explain rules.json --kind chat --model small-1 --account clinic --header x-task=summary
  umberctl explain rules.json --request '{"kind":"service","service":"queue","repeatable":false}'`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			document, snapshot, err := loadDocument(arguments[0])
			if err != nil {
				return err
			}
			attributes, err := flags.request()
			if err != nil {
				return err
			}
			return writeExplanation(command.OutOrStdout(), snapshot, withLabels(attributes, document))
		},
	}
	flags.bind(command)
	command.AddCommand(newExplainPlacementCommand())
	return command
}

// writeExplanation prints the evaluated rules and the decision.
func writeExplanation(w io.Writer, snapshot *config.Snapshot, attributes rules.Attributes) error {
	for _, rule := range snapshot.Explain(attributes).Rules {
		writeRule(w, rule)
	}
	decision, err := snapshot.Classify(attributes)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "class %s, tier %d, target %s\n", decision.Class.Name, decision.Tier, decision.Target.Name)
	return nil
}

// writeRule prints one rule and the values of its conditions.
func writeRule(w io.Writer, rule rules.RuleExplanation) {
	verdict := "does not match"
	if rule.Matched {
		verdict = "matches"
	}
	if rule.Failure != "" {
		verdict += ": " + rule.Failure
	}
	fmt.Fprintf(w, "rule %d %s: %s\n", rule.Index+1, rule.Name, verdict)
	for _, condition := range rule.Conditions {
		fmt.Fprintf(w, "  %s is %s%s\n", condition.Source, condition.Value, operands(condition))
	}
}

// operands formats the values that a condition compares.
func operands(condition rules.Condition) string {
	if len(condition.Operands) == 0 {
		return ""
	}
	var texts []string
	for _, operand := range condition.Operands {
		texts = append(texts, operand.Source+" is "+operand.Value)
	}
	return " (" + strings.Join(texts, ", ") + ")"
}

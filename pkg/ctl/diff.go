package ctl

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// noMatch is printed for the decision on a request that no rule matches.
const noMatch = "none"

// newDiffCommand returns the command that compares how two documents classify
// sample requests.
func newDiffCommand() *cobra.Command {
	requests := ""
	command := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show which sample requests two documents classify differently",
		Long: `Classify the sample requests with both documents and print those whose class, tier
or target changes. The samples are a JSON or YAML list of requests with the fields
that explain --request accepts, and a name each.`,
		Example: `  umberctl diff old.json new.json --requests samples.json`,
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			samples, err := readSamples(requests)
			if err != nil {
				return err
			}
			before, err := newClassifier(arguments[0])
			if err != nil {
				return err
			}
			after, err := newClassifier(arguments[1])
			if err != nil {
				return err
			}
			writeDifferences(command.OutOrStdout(), samples, before, after)
			return nil
		},
	}
	command.Flags().StringVar(&requests, "requests", "", "file of sample requests (required)")
	_ = command.MarkFlagRequired("requests")
	return command
}

// classifier classifies sample requests with one document.
type classifier struct {
	document *config.Document
	snapshot *config.Snapshot
}

// newClassifier returns a classifier for the document in the file.
func newClassifier(file string) (classifier, error) {
	document, snapshot, err := loadDocument(file)
	if err != nil {
		return classifier{}, fault.Wrap(fault.From(err).Code, err, file)
	}
	return classifier{document: document, snapshot: snapshot}, nil
}

// outcome is the decision of one document on a sample.
type outcome struct {
	rule, class, tier, target string
}

// classify returns the decision of the document on the sample.
func (c classifier) classify(sample sampleRequest) outcome {
	decision, err := c.snapshot.Classify(withLabels(sample.Attributes, c.document))
	if err != nil {
		return outcome{rule: noMatch, class: noMatch, tier: noMatch, target: noMatch}
	}
	return outcome{
		rule:   decision.Rule,
		class:  string(decision.Class.Name),
		tier:   strconv.Itoa(int(decision.Tier)),
		target: string(decision.Target.Name),
	}
}

// writeDifferences prints the samples whose decision changes, and their number.
func writeDifferences(w io.Writer, samples []sampleRequest, before, after classifier) {
	changed := 0
	for i, sample := range samples {
		text := difference(before.classify(sample), after.classify(sample))
		if text == "" {
			continue
		}
		changed++
		fmt.Fprintf(w, "%s: %s\n", sampleName(sample, i), text)
	}
	fmt.Fprintf(w, "%d of %d requests change\n", changed, len(samples))
}

// sampleName returns the name of the sample, or its position in the list.
func sampleName(sample sampleRequest, index int) string {
	if sample.Name != "" {
		return sample.Name
	}
	return "request " + strconv.Itoa(index+1)
}

// difference describes the changes between two outcomes. It returns "" if class,
// tier and target are equal.
func difference(before, after outcome) string {
	var changes []string
	add := func(field, old, new string) {
		if old != new {
			changes = append(changes, fmt.Sprintf("%s %s -> %s", field, old, new))
		}
	}
	add("class", before.class, after.class)
	add("tier", before.tier, after.tier)
	add("target", before.target, after.target)
	if len(changes) == 0 {
		return ""
	}
	add("rule", before.rule, after.rule)
	return strings.Join(changes, ", ")
}

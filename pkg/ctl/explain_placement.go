package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/explain"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// peerSecretVariable is the environment variable with the peer secret. A flag would show the
// secret in the list of processes.
const peerSecretVariable = "UMBERCRANK_PEER_SECRET"

// callerRequest is a request as a caller would send it.
type callerRequest struct {
	method, path   string
	headers        []string
	body, bodyFile string
	// rawFile has the whole request, instead of the other fields.
	rawFile string
}

// newExplainPlacementCommand returns the command that explains a placement decision.
func newExplainPlacementCommand() *cobra.Command {
	var request callerRequest
	metrics, asJSON := "", false
	command := &cobra.Command{
		Use:   "placement",
		Short: "Show where an instance would send a request now, and why",
		Long: `Ask a running instance at its metrics address where it would send a request now. The
request is not sent, and nothing is counted. The environment variable
` + peerSecretVariable + ` must have the secret of the instances. Exits with 1 if the
request would be refused, or if that depends on peers, which are not asked.`,
		Example: `  umberctl explain placement --metrics 10.0.0.7:9102 --method POST --path /v1/chat -H 'Host: api.example' -H 'Authorization: Bearer KEY' --body-file prompt.json
  umberctl explain placement --metrics 10.0.0.7:9102 --raw request.http --json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			raw, err := request.raw()
			if err != nil {
				return err
			}
			explanation, err := fetchExplanation(command.Context(), metrics, os.Getenv(peerSecretVariable), raw)
			if err != nil {
				return err
			}
			return writePlacement(command.OutOrStdout(), explanation, asJSON)
		},
	}
	flags := command.Flags()
	flags.StringVar(&metrics, "metrics", "", "metrics address of the instance, host:port")
	flags.StringVar(&request.method, "method", http.MethodPost, "HTTP method")
	flags.StringVar(&request.path, "path", "/", "path and query")
	flags.StringArrayVarP(&request.headers, "header", "H", nil, "header field as \"Name: value\"; may be repeated; Content-Length is added")
	flags.StringVar(&request.body, "body", "", "body of the request")
	flags.StringVar(&request.bodyFile, "body-file", "", "file with the body of the request")
	flags.StringVar(&request.rawFile, "raw", "", "file with the whole request as sent over HTTP/1.1, which keeps a key off the command line; - is standard input")
	flags.BoolVar(&asJSON, "json", false, "print the explanation as JSON")
	// It fails only for a flag that is not defined.
	_ = command.MarkFlagRequired("metrics")
	command.MarkFlagsMutuallyExclusive("body", "body-file", "raw")
	command.MarkFlagsMutuallyExclusive("method", "raw")
	command.MarkFlagsMutuallyExclusive("path", "raw")
	command.MarkFlagsMutuallyExclusive("header", "raw")
	return command
}

// raw returns the bytes of the request. They are not checked: a malformed request is explained
// too.
func (c callerRequest) raw() ([]byte, error) {
	switch c.rawFile {
	case "":
	case "-":
		raw, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read standard input")
		}
		return raw, nil
	default:
		return readFile(c.rawFile)
	}
	body := []byte(c.body)
	if c.bodyFile != "" {
		var err error
		if body, err = readFile(c.bodyFile); err != nil {
			return nil, err
		}
	}
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "%s %s HTTP/1.1\r\n", c.method, c.path)
	hasLength := len(body) == 0
	for _, field := range c.headers {
		fmt.Fprintf(&raw, "%s\r\n", field)
		name, _, _ := strings.Cut(field, ":")
		hasLength = hasLength || strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding")
	}
	if !hasLength {
		fmt.Fprintf(&raw, "Content-Length: %d\r\n", len(body))
	}
	raw.WriteString("\r\n")
	raw.Write(body)
	return raw.Bytes(), nil
}

// fetchExplanation asks the instance at the metrics address. Its errors do not have the request.
func fetchExplanation(ctx context.Context, address, secret string, raw []byte) (*explain.Explanation, error) {
	if secret == "" {
		return nil, fault.New(fault.InvalidSetting, "the environment variable "+peerSecretVariable+" is not set")
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+explain.Path, bytes.NewReader(raw))
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "invalid metrics address "+address)
	}
	if err := explain.Sign(request.Header, secret, time.Now(), raw); err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnavailable, err, "no response")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponseBytes))
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnavailable, err, "the response is incomplete")
	}
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.PeerRejected, response.Status+": "+strings.TrimSpace(string(body)))
	}
	var explanation explain.Explanation
	if err := json.Unmarshal(body, &explanation); err != nil {
		return nil, fault.Wrap(fault.PeerRejected, err, "malformed explanation")
	}
	return &explanation, nil
}

// writePlacement prints the explanation. It returns an error of code CheckFailed unless the
// request would be placed.
func writePlacement(w io.Writer, e *explain.Explanation, asJSON bool) error {
	if asJSON {
		text, err := json.MarshalIndent(e, "", "  ")
		if err != nil {
			return fault.Wrap(fault.Internal, err, "cannot encode the explanation")
		}
		fmt.Fprintln(w, string(text))
	} else if err := writePlacementText(w, e); err != nil {
		return err
	}
	if e.Outcome != explain.Placed {
		return fault.New(fault.CheckFailed, "the request is "+string(e.Outcome))
	}
	return nil
}

func writePlacementText(w io.Writer, e *explain.Explanation) error {
	fmt.Fprintf(w, "instance       %s in %s\n", e.Instance, e.DataCentre)
	if c := e.Config; c != nil {
		fmt.Fprintf(w, "configuration  version %s, revision %v, in force for %s\n", c.Version, c.Revision, span(c.AgeMs))
	}
	if r := e.Route; r != nil {
		fmt.Fprintf(w, "route          %s (%s), target %s%s, objective %s, timeout %s\n", r.Name, r.Kind, r.Target, otherTargets(r), span(r.ObjectiveMs), span(r.TimeoutMs))
	}
	if e.Priority != nil {
		fmt.Fprintf(w, "account        %s, priority %d\n", orNone(string(e.Account)), *e.Priority)
	}
	if p := e.Prompt; p != nil {
		fmt.Fprintf(w, "prompt         %d tokens, %d segments, latency-sensitive: %t\n", p.Tokens, p.Segments, p.LatencySensitive)
	}
	if o := e.Origin; o != nil {
		fmt.Fprintf(w, "stream origin  target %s, version %s\n", o.Target, orNone(string(o.Version)))
	}
	if a := e.Admission; a != nil {
		late := ""
		if a.Late {
			late = ", as late work"
		}
		fmt.Fprintf(w, "admission      admitted: %t, predicted wait %s, first response %s, less urgent work: %t%s\n", a.Admitted, span(a.WaitMs), span(a.FirstResponseMs), a.LessUrgentWork, late)
		if a.OverShareProbability > 0 {
			fmt.Fprintf(w, "fair share     over the share of its account: %t, drawn with the probability %.3f\n", a.OverShare, a.OverShareProbability)
		}
	}
	if len(e.AskedPeers) > 0 {
		fmt.Fprintf(w, "loads          a request would ask peers for those of %v; shown are the reports\n", e.AskedPeers)
	}
	switch {
	case e.Refusal != nil:
		fmt.Fprintf(w, "outcome        refused: %s\n", refusalText(e.Refusal))
	case e.Choice != "":
		fmt.Fprintf(w, "outcome        placed at %s\n", e.Choice)
	default:
		fmt.Fprintf(w, "outcome        %s: %s\n", e.Outcome, e.Note)
	}
	if p := e.Permit; p != nil {
		fmt.Fprintf(w, "permit         needed: %g per second, priority %d, cold: %t; if it is refused, another upstream is chosen\n", p.PerSecond, p.Priority, p.Cold)
	}
	if r := e.Retry; r != nil {
		next := string(r.Choice)
		if r.Refusal != nil {
			next = refusalText(r.Refusal)
		}
		fmt.Fprintf(w, "retry          after it ran: %t, if it did not run: %t, budget left: %t, next: %s\n", r.AfterRun, r.NotRun, r.Budget, orNone(next))
	}
	return writeCandidates(w, e.Candidates)
}

func writeCandidates(w io.Writer, candidates []explain.Candidate) error {
	if len(candidates) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nupstream\tdata_centre\tversion\tstate\tcost\twait\tfirst\twaiting\trunning\tslots\tload_age\tcached\tfailures\tlimit\tcold_limit\tnotes")
	for i := range candidates {
		c := &candidates[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d\t%.2f\t%s\t%s\t%s\n", c.Upstream, c.DataCentre, orNone(string(c.Version)), c.State,
			optionalSpan(c.CostMs), optionalSpan(c.WaitMs), optionalSpan(c.FirstResponseMs), c.Waiting, c.Running, c.Slots, span(c.LoadAgeMs), c.CachedTokens, c.FailureRate,
			optionalRate(c.LimitPerSecond), optionalRate(c.ColdLimitPerSecond), candidateNotes(c))
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the table")
	}
	return nil
}

// candidateNotes returns what applies to few candidates only.
func candidateNotes(c *explain.Candidate) string {
	var notes []string
	for _, note := range []struct {
		name string
		ms   float64
	}{{"paused", c.PauseMs}, {"ejected", c.EjectionMs}, {"blocked", c.BlockedMs}, {"cold", c.ColdMs}} {
		if note.ms > 0 {
			notes = append(notes, note.name+" for "+span(note.ms))
		}
	}
	if c.WaitMs != nil && !c.Compared {
		notes = append(notes, "not compared")
	}
	if c.Preferred {
		notes = append(notes, "preferred")
	}
	if c.Reserved {
		notes = append(notes, "reserved")
	}
	if c.Speed > 0 {
		notes = append(notes, fmt.Sprintf("speed %.2f", c.Speed))
	}
	if c.Room > 0 {
		notes = append(notes, fmt.Sprintf("room %d", c.Room))
	}
	if c.BeyondRoom {
		notes = append(notes, "beyond its room")
	}
	return strings.Join(notes, ", ")
}

func refusalText(r *explain.Refusal) string {
	text := fmt.Sprintf("status %d, %s", r.Status, r.Message)
	if r.RetryAfterMs > 0 {
		text += ", Retry-After " + span(r.RetryAfterMs)
	}
	return text
}

func otherTargets(r *explain.Route) string {
	if len(r.Targets) < 2 {
		return ""
	}
	var weights []string
	for _, target := range r.Targets {
		weights = append(weights, fmt.Sprintf("%s %d", target.Name, target.Weight))
	}
	return " (drawn by weight: " + strings.Join(weights, ", ") + ")"
}

// span formats milliseconds as a duration.
func span(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(10 * time.Microsecond).String()
}

func optionalSpan(ms *float64) string {
	if ms == nil {
		return "-"
	}
	return span(*ms)
}

func optionalRate(perSecond *float64) string {
	if perSecond == nil {
		return "-"
	}
	return fmt.Sprintf("%g/s", *perSecond)
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

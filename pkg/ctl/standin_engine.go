package ctl

import (
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/standin/engine"
)

// newStandinEngineCommand serves a stand-in engine.
func newStandinEngineCommand() *cobra.Command {
	settings := engine.DefaultSettings()
	address := ""
	command := &cobra.Command{
		Use:   "engine",
		Short: "Serve a stand-in of a model engine by the OpenAI protocol",
		Long: `Serve a stand-in of a model engine: continuous batching, limited key-value
memory, a prefix cache, priorities, and load reports that lag. Its answers are
derived from the prompt. Faults can be changed while it runs:

  curl -X PUT -d '{"leaving":true}' http://127.0.0.1:9001/faults
  curl -X PUT -d '{"straggle":4,"load_lag_ms":2000}' http://127.0.0.1:9001/faults
  curl -X PUT -d '{"crash":true}' http://127.0.0.1:9001/faults`,
		Example: `  umberctl standin engine --address 127.0.0.1:9001 --model small
  umberctl standin engine --address 127.0.0.1:9002 --straggle 3 --poison-marker POISON`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serveStandin(command, "engine "+settings.Name, address, engine.New(settings))
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:9001", "host:port to listen on")
	flags.StringVar(&settings.Name, "name", settings.Name, "name shown in the answers")
	flags.StringVar(&settings.ModelName, "model", settings.ModelName, "model that the engine lists")
	flags.IntVar(&settings.MaxWaiting, "max-waiting", settings.MaxWaiting, "sequences that may wait inside the engine")
	flags.Int64Var(&settings.MaxBodyBytes, "max-body-bytes", settings.MaxBodyBytes, "largest body of a request, in bytes")
	model := &settings.Model
	flags.Uint64Var(&model.Seed, "seed", model.Seed, "seed of the step-time jitter")
	flags.DurationVar(&model.StepBase, "step-base", model.StepBase, "time of a step whatever its batch")
	flags.DurationVar(&model.StepPerSequence, "step-per-sequence", model.StepPerSequence, "time added for each generating sequence")
	flags.DurationVar(&model.StepPerPrefillToken, "step-per-prefill-token", model.StepPerPrefillToken, "time added for each prompt token read")
	flags.Float64Var(&model.Jitter, "jitter", model.Jitter, "largest relative change of a step's time")
	flags.IntVar(&model.MaxBatch, "max-batch", model.MaxBatch, "sequences in one step")
	flags.IntVar(&model.PrefillChunk, "prefill-chunk", model.PrefillChunk, "prompt tokens read in one step")
	flags.IntVar(&model.KVTokens, "kv-tokens", model.KVTokens, "key-value memory, in tokens")
	flags.IntVar(&model.PrefixTokens, "prefix-tokens", model.PrefixTokens, "memory of the prefix cache, in tokens")
	faults := &settings.Faults
	flags.BoolVar(&faults.Leaving, "leaving", false, "refuse new work from the start")
	flags.Float64Var(&faults.Straggle, "straggle", 1, "factor on the time of each step")
	flags.DurationVar(&faults.LoadLag, "load-lag", faults.LoadLag, "age of the load reports")
	flags.StringVar(&faults.PoisonMarker, "poison-marker", "", "text in a prompt that crashes the engine; empty is off")
	flags.IntVar(&faults.BreakNext, "break-next", 0, "next requests whose connection closes in the middle of the answer")
	flags.IntVar(&faults.BreakAfterTokens, "break-after-tokens", 0, "tokens of a broken stream that are sent before")
	return command
}

package ctl

import (
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/standin/engine"
)

// newStandinEngineCommand returns the command that serves a stand-in engine.
func newStandinEngineCommand() *cobra.Command {
	settings := engine.DefaultSettings()
	address := ""
	command := &cobra.Command{
		Use:   "engine",
		Short: "Serve a stand-in of a model engine with the OpenAI protocol",
		Long: `Serve a stand-in of a model engine with continuous batching, a limited key-value
cache, a prefix cache, priorities, and delayed load reports. Its answers are
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
	flags.StringVar(&settings.Name, "name", settings.Name, "name reported in the answers")
	flags.StringVar(&settings.ModelName, "model", settings.ModelName, "model that the engine lists")
	flags.IntVar(&settings.MaxWaiting, "max-waiting", settings.MaxWaiting, "maximum number of sequences waiting in the engine")
	flags.Int64Var(&settings.MaxBodyBytes, "max-body-bytes", settings.MaxBodyBytes, "maximum size of a request body, in bytes")
	model := &settings.Model
	flags.Uint64Var(&model.Seed, "seed", model.Seed, "seed of the step-time jitter")
	flags.DurationVar(&model.StepBase, "step-base", model.StepBase, "base duration of a step")
	flags.DurationVar(&model.StepPerSequence, "step-per-sequence", model.StepPerSequence, "time added to a step for each generating sequence")
	flags.DurationVar(&model.StepPerPrefillToken, "step-per-prefill-token", model.StepPerPrefillToken, "time added to a step for each prompt token processed")
	flags.Float64Var(&model.Jitter, "jitter", model.Jitter, "maximum relative variation of the step time")
	flags.IntVar(&model.MaxBatch, "max-batch", model.MaxBatch, "maximum number of sequences in one step")
	flags.IntVar(&model.PrefillChunk, "prefill-chunk", model.PrefillChunk, "maximum number of prompt tokens processed in one step")
	flags.IntVar(&model.KVTokens, "kv-tokens", model.KVTokens, "size of the key-value cache, in tokens")
	flags.IntVar(&model.PrefixTokens, "prefix-tokens", model.PrefixTokens, "size of the prefix cache, in tokens")
	faults := &settings.Faults
	flags.BoolVar(&faults.Leaving, "leaving", false, "refuse new work from the start")
	flags.Float64Var(&faults.Straggle, "straggle", 1, "factor applied to the duration of each step")
	flags.DurationVar(&faults.LoadLag, "load-lag", faults.LoadLag, "age of the load reports")
	flags.StringVar(&faults.PoisonMarker, "poison-marker", "", "text that crashes the engine if a prompt contains it; empty disables the fault")
	flags.IntVar(&faults.BreakNext, "break-next", 0, "number of upcoming requests whose connection is closed before the answer is complete")
	flags.IntVar(&faults.BreakAfterTokens, "break-after-tokens", 0, "number of tokens sent before a stream is broken")
	return command
}

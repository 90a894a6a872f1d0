package ctl

import (
	"context"
	"encoding/json"
	"net"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/standin/configuration"
	"github.com/umbercrank/umbercrank/pkg/standin/network"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// configurationServer serves the stand-in of the configuration service.
type configurationServer struct {
	service *configuration.Service
}

// Serve serves on the listener until ctx is done.
func (s configurationServer) Serve(ctx context.Context, listener net.Listener) error {
	return network.Serve(ctx, listener, s.service.Handler(), nil)
}

// newStandinConfigCommand returns the command that serves a stand-in of the
// configuration service.
func newStandinConfigCommand() *cobra.Command {
	address, document, instances := "", "", ""
	command := &cobra.Command{
		Use:   "config",
		Short: "Serve a stand-in of the configuration service and the instance list",
		Long: `Serve a stand-in of the platform: the published configuration in parts, and the
list of instances. Both can be changed while it runs:

  curl -X PUT --data-binary @rules.json http://127.0.0.1:7000/v1/document
  curl -X PUT --data-binary @instances.json http://127.0.0.1:7000/v1/instances
  curl -X PUT -d '{"down":true}' http://127.0.0.1:7000/v1/faults`,
		Example: `  umberctl standin config --address 127.0.0.1:7000 --document rules.json --instances instances.json`,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			service := configuration.New()
			if err := publishFiles(service, document, instances); err != nil {
				return err
			}
			return serveStandin(command, "config", address, configurationServer{service})
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:7000", "host:port to listen on")
	flags.StringVar(&document, "document", "", "file with the configuration to publish at the start, JSON or YAML")
	flags.StringVar(&instances, "instances", "", "file with the instance list to publish at the start, JSON or YAML")
	return command
}

// publishFiles publishes the document and the instance list. Empty file names are
// skipped.
func publishFiles(service *configuration.Service, document, instances string) error {
	if document != "" {
		if err := publishDocument(service, document); err != nil {
			return err
		}
	}
	if instances == "" {
		return nil
	}
	list, err := readInstances(instances)
	if err != nil {
		return err
	}
	service.SetInstances(list)
	return nil
}

func publishDocument(service *configuration.Service, name string) error {
	text, err := readFile(name)
	if err != nil {
		return err
	}
	document, err := config.Parse(text)
	if err != nil {
		return err
	}
	_, err = service.Publish(document)
	return err
}

func readInstances(name string) ([]types.Instance, error) {
	text, err := readFile(name)
	if err != nil {
		return nil, err
	}
	asJSON, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read "+name)
	}
	var list []types.Instance
	if err := json.Unmarshal(asJSON, &list); err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read "+name)
	}
	return list, nil
}

func readFile(name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot read "+name)
	}
	return text, nil
}

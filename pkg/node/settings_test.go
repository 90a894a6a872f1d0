package node

import (
	"strings"
	"testing"

	"github.com/spf13/pflag"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// parse parses and validates settings from command-line arguments and environment
// variables.
func parse(t *testing.T, arguments []string, environment map[string]string) (*Settings, error) {
	t.Helper()
	settings := &Settings{}
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	settings.AddFlags(flags)
	if err := flags.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	lookup := func(name string) (string, bool) {
		value, found := environment[name]
		return value, found
	}
	if err := ApplyEnvironment(flags, lookup); err != nil {
		return settings, err
	}
	return settings, settings.Validate()
}

// required returns the required arguments, followed by more.
func required(more ...string) []string {
	return append([]string{"--instance=a", "--data-centre=lac", "--peer-secret=0123456789abcdef"}, more...)
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	environment := map[string]string{"UMBERCRANK_LOG_LEVEL": "debug", "UMBERCRANK_MAX_REQUESTS": "7"}
	settings, err := parse(t, required("--log-level=warn"), environment)
	if err != nil {
		t.Fatal(err)
	}
	if settings.LogLevel != "warn" || settings.MaxRequests != 7 {
		t.Fatalf("got %q and %d", settings.LogLevel, settings.MaxRequests)
	}
}

func TestValidateNamesInvalidSetting(t *testing.T) {
	cases := []struct{ argument, setting string }{
		{"--instance=", "instance"},
		{"--instance=a.b", "instance"},
		{"--data-centre=", "data-centre"},
		{"--caller-address=localhost:1", "caller-address"},
		{"--peer-address=127.0.0.1", "peer-address"},
		{"--admin-address=127.0.0.1:70000", "admin-address"},
		{"--platform-url=ftp://x", "platform-url"},
		{"--peer-secret=short", "peer-secret"},
		{"--log-format=xml", "log-format"},
		{"--log-level=loud", "log-level"},
		{"--max-body-bytes=0", "max-body-bytes"},
		{"--max-header-bytes=1", "max-header-bytes"},
		{"--max-requests=0", "max-requests"},
		{"--max-connections=0", "max-connections"},
		{"--timeline-events=0", "timeline-events"},
		{"--stop-timeout=0s", "stop-timeout"},
		{"--address-lifetime=0s", "address-lifetime"},
		{"--directory-overlap=-1s", "directory-overlap"},
	}
	for _, c := range cases {
		_, err := parse(t, required(c.argument), nil)
		if err == nil {
			t.Errorf("%s was accepted", c.argument)
			continue
		}
		e := fault.From(err)
		if e.Code != fault.InvalidSetting || !strings.HasPrefix(e.Message, "setting "+c.setting+" ") {
			t.Errorf("%s: %v", c.argument, err)
		}
	}
}

func TestValidateHidesPeerSecret(t *testing.T) {
	_, err := parse(t, required("--peer-secret=hush"), nil)
	if err == nil || strings.Contains(err.Error(), "hush") {
		t.Fatalf("got %v", err)
	}
}

func TestApplyEnvironmentRejectsInvalidValue(t *testing.T) {
	_, err := parse(t, required(), map[string]string{"UMBERCRANK_STOP_TIMEOUT": "soon"})
	if err == nil || fault.From(err).Code != fault.InvalidSetting {
		t.Fatalf("got %v", err)
	}
}

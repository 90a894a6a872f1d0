// Package node assembles one instance from its parts and runs it: it provisions
// the parts from checked settings, validates them, serves, and cleans up in
// order on a graceful stop.
package node

import (
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/pflag"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// EnvironmentPrefix begins the name of every environment variable.
const EnvironmentPrefix = "UMBERCRANK_"

// Defaults of the settings.
const (
	defaultPlatformURL      = "http://127.0.0.1:7000"
	defaultCallerAddress    = "127.0.0.1:7100"
	defaultPeerAddress      = "127.0.0.1:7200"
	defaultAdminAddress     = "127.0.0.1:7300"
	defaultMaxBodyBytes     = 1 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultMaxRequests      = 4096
	defaultMaxConnections   = 8192
	defaultTimelineEvents   = 16384
	defaultStopTimeout      = 2 * time.Minute
	defaultAddressLifetime  = 10 * time.Second
	defaultDirectoryOverlap = 5 * time.Second
)

// Limits of the settings.
const (
	minSecretBytes     = 16
	maxMaxBodyBytes    = 64 << 20
	minMaxHeaderBytes  = 4 << 10
	maxMaxHeaderBytes  = 1 << 20
	maxRequestLimit    = 1 << 20
	maxTimelineEvents  = 1 << 20
	maxStopTimeout     = time.Hour
	maxAddressLifetime = 5 * time.Minute
)

// Settings are the static settings of one instance, from flags and environment
// variables. The published configuration is apart and changes while running.
type Settings struct {
	// Instance is the ID of the instance in the published list.
	Instance string
	// DataCentre is where the instance runs.
	DataCentre string
	// Region groups data centres; optional.
	Region string
	// CallerAddress is the host:port for callers.
	CallerAddress string
	// PeerAddress is the host:port for other instances.
	PeerAddress string
	// AdminAddress is the host:port for operators.
	AdminAddress string
	// PlatformURL is the base URL of the configuration service.
	PlatformURL string
	// PeerSecret authenticates instances to each other.
	PeerSecret string
	// LogFormat is json or console.
	LogFormat string
	// LogLevel is a zerolog level name.
	LogLevel string
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a caller's headers.
	MaxHeaderBytes int
	// MaxRequests bounds the requests held at once.
	MaxRequests int
	// MaxConnections bounds the caller connections open at once.
	MaxConnections int
	// TimelineEvents is how many events the instance keeps.
	TimelineEvents int
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// AddressLifetime is how long callers may keep an address.
	AddressLifetime time.Duration
	// DirectoryOverlap is how long a leaving instance goes on taking requests
	// from callers that keep its address, on top of AddressLifetime.
	DirectoryOverlap time.Duration
}

// AddFlags defines the flags of the settings, with their defaults, on flags.
func (s *Settings) AddFlags(flags *pflag.FlagSet) {
	flags.StringVar(&s.Instance, "instance", "", "ID of this instance in the published list (required)")
	flags.StringVar(&s.DataCentre, "data-centre", "", "data centre of this instance (required)")
	flags.StringVar(&s.Region, "region", "", "region of the data centre")
	flags.StringVar(&s.CallerAddress, "caller-address", defaultCallerAddress, "host:port for callers, an IP number")
	flags.StringVar(&s.PeerAddress, "peer-address", defaultPeerAddress, "host:port for other instances, an IP number")
	flags.StringVar(&s.AdminAddress, "admin-address", defaultAdminAddress, "host:port for metrics, time line and status, an IP number")
	flags.StringVar(&s.PlatformURL, "platform-url", defaultPlatformURL, "base URL of the configuration service")
	flags.StringVar(&s.PeerSecret, "peer-secret", "", "secret shared by the instances, at least 16 bytes (required; prefer the environment variable)")
	flags.StringVar(&s.LogFormat, "log-format", "json", "json or console")
	flags.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	flags.Int64Var(&s.MaxBodyBytes, "max-body-bytes", defaultMaxBodyBytes, "largest body of a caller, in bytes")
	flags.IntVar(&s.MaxHeaderBytes, "max-header-bytes", defaultMaxHeaderBytes, "largest headers of a caller, in bytes")
	flags.IntVar(&s.MaxRequests, "max-requests", defaultMaxRequests, "most requests held at once")
	flags.IntVar(&s.MaxConnections, "max-connections", defaultMaxConnections, "most caller connections open at once")
	flags.IntVar(&s.TimelineEvents, "timeline-events", defaultTimelineEvents, "events kept for the time line")
	flags.DurationVar(&s.StopTimeout, "stop-timeout", defaultStopTimeout, "longest graceful stop")
	flags.DurationVar(&s.AddressLifetime, "address-lifetime", defaultAddressLifetime, "how long callers may keep an address")
	flags.DurationVar(&s.DirectoryOverlap, "directory-overlap", defaultDirectoryOverlap, "how long a leaving instance still serves beyond address-lifetime")
}

// EnvironmentName returns the environment variable that sets the flag.
func EnvironmentName(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnvironment sets each flag that the command line left alone from its
// environment variable. It returns a fault of code InvalidSetting for a value
// that the flag cannot take.
func ApplyEnvironment(flags *pflag.FlagSet, lookup func(string) (string, bool)) error {
	var failure error
	flags.VisitAll(func(f *pflag.Flag) {
		value, found := lookup(EnvironmentName(f.Name))
		if f.Changed || !found || failure != nil {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			failure = invalid(f.Name, value, "a value of type "+f.Value.Type())
		}
	})
	return failure
}

// Validate checks every setting. It returns a fault of code InvalidSetting that
// names the setting, its value and what is allowed.
func (s *Settings) Validate() error {
	for _, check := range s.checks() {
		if !check.valid {
			return invalid(check.name, check.value, check.allowed)
		}
	}
	return nil
}

// check is the verdict on one setting.
type check struct {
	name, value, allowed string
	valid                bool
}

// checks returns the verdicts on all settings in the order of the flags.
func (s *Settings) checks() []check {
	list := []check{
		identifier("instance", s.Instance),
		identifier("data-centre", s.DataCentre),
		address("caller-address", s.CallerAddress),
		address("peer-address", s.PeerAddress),
		address("admin-address", s.AdminAddress),
		baseURL("platform-url", s.PlatformURL),
		{"peer-secret", "(hidden)", "at least 16 bytes", len(s.PeerSecret) >= minSecretBytes},
		oneOf("log-format", s.LogFormat, "json", "console"),
		oneOf("log-level", s.LogLevel, "debug", "info", "warn", "error"),
		between("max-body-bytes", s.MaxBodyBytes, 1, maxMaxBodyBytes),
		between("max-header-bytes", int64(s.MaxHeaderBytes), minMaxHeaderBytes, maxMaxHeaderBytes),
		between("max-requests", int64(s.MaxRequests), 1, maxRequestLimit),
		between("max-connections", int64(s.MaxConnections), 1, maxRequestLimit),
		between("timeline-events", int64(s.TimelineEvents), 1, maxTimelineEvents),
		span("stop-timeout", s.StopTimeout, time.Second, maxStopTimeout),
		span("address-lifetime", s.AddressLifetime, time.Second, maxAddressLifetime),
		span("directory-overlap", s.DirectoryOverlap, 0, maxAddressLifetime),
	}
	return list
}

// Self returns the instance's row as it would stand in the published list.
func (s *Settings) Self() types.Instance {
	return types.Instance{
		ID:            types.InstanceID(s.Instance),
		DataCentre:    types.DataCentre(s.DataCentre),
		Region:        types.Region(s.Region),
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		State:         types.InstanceLive,
	}
}

// Level returns the log level, which Validate has checked.
func (s *Settings) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// invalid returns the failure for one setting.
func invalid(name, value, allowed string) error {
	message := "setting " + name + " (" + EnvironmentName(name) + ") is " +
		strconv.Quote(value) + "; allowed: " + allowed
	return fault.New(fault.InvalidSetting, message)
}

func identifier(name, value string) check {
	valid := value != "" && !strings.ContainsAny(value, " \t\n/@.")
	return check{name, value, "a name without blanks, slashes, dots or @", valid}
}

func address(name, value string) check {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.ParseUint(port, 10, 16)
	valid := err == nil && portErr == nil && net.ParseIP(host) != nil
	return check{name, value, "IP number and port, such as 127.0.0.1:7100", valid && number <= 65535}
}

func baseURL(name, value string) check {
	parsed, err := url.Parse(value)
	valid := err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
	return check{name, value, "an http or https URL", valid}
}

func oneOf(name, value string, allowed ...string) check {
	for _, a := range allowed {
		if value == a {
			return check{name, value, "", true}
		}
	}
	return check{name, value, strings.Join(allowed, ", "), false}
}

func between(name string, value, low, high int64) check {
	allowed := strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
	return check{name, strconv.FormatInt(value, 10), allowed, value >= low && value <= high}
}

func span(name string, value, low, high time.Duration) check {
	return check{name, value.String(), low.String() + " to " + high.String(), value >= low && value <= high}
}

// Package node assembles and runs one instance: it validates the settings, creates
// the roles and servers, serves, and shuts down gracefully.
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
	"github.com/umbercrank/umbercrank/pkg/intake"
	"github.com/umbercrank/umbercrank/pkg/netconn"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// EnvironmentPrefix is the prefix of all environment variables.
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
	defaultMemoryBytes      = 512 << 20
	defaultTimelineEvents   = 16384
	defaultStopTimeout      = 2 * time.Minute
	defaultAddressLifetime  = 10 * time.Second
	defaultDirectoryOverlap = 5 * time.Second
)

// Limits of the settings.
const (
	minPeerSecretBytes = 16
	maxMaxBodyBytes    = 64 << 20
	minMaxHeaderBytes  = 4 << 10
	maxMaxHeaderBytes  = 1 << 20
	maxRequestLimit    = 1 << 20
	minMemoryBytes     = 64 << 20
	maxMemoryBytes     = 1 << 40
	maxTimelineEvents  = 1 << 20
	maxStopTimeout     = time.Hour
	maxAddressLifetime = 5 * time.Minute
)

// Settings configures one instance. It is read from flags and environment variables
// and stays the same at run time. The published configuration is separate and can
// change at run time.
type Settings struct {
	// Instance is the ID of the instance in the published list.
	Instance string
	// DataCentre is the data centre of the instance.
	DataCentre string
	// Region is the region of the data centre; optional.
	Region string
	// CallerAddress is the host:port at which callers connect.
	CallerAddress string
	// PeerAddress is the host:port at which other instances connect.
	PeerAddress string
	// AdminAddress is the host:port at which operators connect.
	AdminAddress string
	// PlatformURL is the base URL of the configuration service.
	PlatformURL string
	// PeerSecret authenticates instances to each other.
	PeerSecret string
	// LogFormat is json or console.
	LogFormat string
	// LogLevel is a zerolog level name.
	LogLevel string
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of the request headers.
	MaxHeaderBytes int
	// MaxRequests is the maximum number of requests in flight.
	MaxRequests int
	// MaxConnections is the maximum number of open caller connections.
	MaxConnections int
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// TimelineEvents is the number of time line events that are kept.
	TimelineEvents int
	// StopTimeout is the timeout for a graceful shutdown.
	StopTimeout time.Duration
	// AddressLifetime is how long callers may cache an address.
	AddressLifetime time.Duration
	// DirectoryOverlap is how long, after AddressLifetime, a leaving instance still
	// accepts requests from callers that cached its address.
	DirectoryOverlap time.Duration
	// FirstStart reports whether the fleet starts for the first time, so that no earlier
	// process has used the retry budget.
	FirstStart bool
}

// AddFlags defines a flag with a default for each setting.
func (s *Settings) AddFlags(flags *pflag.FlagSet) {
	flags.StringVar(&s.Instance, "instance", "", "ID of this instance in the published list (required)")
	flags.StringVar(&s.DataCentre, "data-centre", "", "data centre of this instance (required)")
	flags.StringVar(&s.Region, "region", "", "region of the data centre")
	flags.StringVar(&s.CallerAddress, "caller-address", defaultCallerAddress, "IP address and port for callers")
	flags.StringVar(&s.PeerAddress, "peer-address", defaultPeerAddress, "IP address and port for other instances")
	flags.StringVar(&s.AdminAddress, "admin-address", defaultAdminAddress, "IP address and port for metrics, time line and status")
	flags.StringVar(&s.PlatformURL, "platform-url", defaultPlatformURL, "base URL of the configuration service")
	flags.StringVar(&s.PeerSecret, "peer-secret", "", "secret shared by the instances, at least 16 bytes (required; prefer the environment variable)")
	flags.StringVar(&s.LogFormat, "log-format", "json", "json or console")
	flags.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	flags.Int64Var(&s.MaxBodyBytes, "max-body-bytes", defaultMaxBodyBytes, "maximum size of a request body in bytes")
	flags.IntVar(&s.MaxHeaderBytes, "max-header-bytes", defaultMaxHeaderBytes, "maximum size of the request headers in bytes")
	flags.IntVar(&s.MaxRequests, "max-requests", defaultMaxRequests, "maximum number of requests in flight")
	flags.IntVar(&s.MaxConnections, "max-connections", defaultMaxConnections, "maximum number of open caller connections")
	flags.Int64Var(&s.MemoryBytes, "memory-bytes", defaultMemoryBytes, "memory that the process may use, in bytes")
	flags.IntVar(&s.TimelineEvents, "timeline-events", defaultTimelineEvents, "number of time line events kept")
	flags.DurationVar(&s.StopTimeout, "stop-timeout", defaultStopTimeout, "timeout for a graceful shutdown")
	flags.DurationVar(&s.AddressLifetime, "address-lifetime", defaultAddressLifetime, "how long callers may cache an address")
	flags.DurationVar(&s.DirectoryOverlap, "directory-overlap", defaultDirectoryOverlap, "how long a leaving instance still accepts requests after address-lifetime")
	flags.BoolVar(&s.FirstStart, "first-start", false, "the fleet starts for the first time; its instances may use the retry burst at once")
}

// intakeLimits returns the limits of the connections of callers and operators.
func (s *Settings) intakeLimits() intake.Limits {
	limits := intake.LimitsOf(s.MemoryBytes, netconn.DescriptorLimit())
	limits.Connections = min(limits.Connections, s.MaxConnections)
	return limits
}

// EnvironmentName returns the name of the environment variable for a flag.
func EnvironmentName(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnvironment sets each flag that is not on the command line from its
// environment variable. It returns an error with the code InvalidSetting if a
// value cannot be parsed.
func ApplyEnvironment(flags *pflag.FlagSet, lookup func(string) (string, bool)) error {
	var failure error
	flags.VisitAll(func(f *pflag.Flag) {
		value, found := lookup(EnvironmentName(f.Name))
		if f.Changed || !found || failure != nil {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			failure = invalidSetting(f.Name, value, "a value of type "+f.Value.Type())
		}
	})
	return failure
}

// Validate checks all settings. It returns an error with the code InvalidSetting
// that names the first invalid setting, its value and the allowed values.
func (s *Settings) Validate() error {
	for _, check := range s.checks() {
		if !check.valid {
			return invalidSetting(check.name, check.value, check.allowed)
		}
	}
	return nil
}

// settingCheck is the result of checking one setting.
type settingCheck struct {
	name, value, allowed string
	valid                bool
}

// checks returns the results for all settings in the order of the flags.
func (s *Settings) checks() []settingCheck {
	list := []settingCheck{
		checkIdentifier("instance", s.Instance),
		checkIdentifier("data-centre", s.DataCentre),
		checkAddress("caller-address", s.CallerAddress),
		checkAddress("peer-address", s.PeerAddress),
		checkAddress("admin-address", s.AdminAddress),
		checkURL("platform-url", s.PlatformURL),
		{"peer-secret", "(hidden)", "at least 16 bytes", len(s.PeerSecret) >= minPeerSecretBytes},
		checkOneOf("log-format", s.LogFormat, "json", "console"),
		checkOneOf("log-level", s.LogLevel, "debug", "info", "warn", "error"),
		checkRange("max-body-bytes", s.MaxBodyBytes, 1, maxMaxBodyBytes),
		checkRange("max-header-bytes", int64(s.MaxHeaderBytes), minMaxHeaderBytes, maxMaxHeaderBytes),
		checkRange("max-requests", int64(s.MaxRequests), 1, maxRequestLimit),
		checkRange("max-connections", int64(s.MaxConnections), 1, maxRequestLimit),
		checkRange("memory-bytes", s.MemoryBytes, minMemoryBytes, maxMemoryBytes),
		checkRange("timeline-events", int64(s.TimelineEvents), 1, maxTimelineEvents),
		checkDuration("stop-timeout", s.StopTimeout, time.Second, maxStopTimeout),
		checkDuration("address-lifetime", s.AddressLifetime, time.Second, maxAddressLifetime),
		checkDuration("directory-overlap", s.DirectoryOverlap, 0, maxAddressLifetime),
	}
	return list
}

// Self returns the entry of this instance for the instance list.
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

// Level returns the log level, or info if LogLevel is invalid.
func (s *Settings) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// invalidSetting returns the error for one setting.
func invalidSetting(name, value, allowed string) error {
	message := "setting " + name + " (" + EnvironmentName(name) + ") is " +
		strconv.Quote(value) + "; allowed: " + allowed
	return fault.New(fault.InvalidSetting, message)
}

func checkIdentifier(name, value string) settingCheck {
	valid := value != "" && !strings.ContainsAny(value, " \t\n/@.")
	return settingCheck{name, value, "a name without whitespace, slashes, dots or @", valid}
}

func checkAddress(name, value string) settingCheck {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.ParseUint(port, 10, 16)
	valid := err == nil && portErr == nil && net.ParseIP(host) != nil
	return settingCheck{name, value, "IP address and port, such as 127.0.0.1:7100", valid && number <= 65535}
}

func checkURL(name, value string) settingCheck {
	parsed, err := url.Parse(value)
	valid := err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
	return settingCheck{name, value, "an http or https URL", valid}
}

func checkOneOf(name, value string, allowed ...string) settingCheck {
	for _, a := range allowed {
		if value == a {
			return settingCheck{name, value, "", true}
		}
	}
	return settingCheck{name, value, strings.Join(allowed, ", "), false}
}

func checkRange(name string, value, low, high int64) settingCheck {
	allowed := strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
	return settingCheck{name, strconv.FormatInt(value, 10), allowed, value >= low && value <= high}
}

func checkDuration(name string, value, low, high time.Duration) settingCheck {
	return settingCheck{name, value.String(), low.String() + " to " + high.String(), value >= low && value <= high}
}

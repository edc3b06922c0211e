package configurer

import "time"

// Unit is the unit or format of a setting's value.
type Unit string

// Units of settings.
const (
	// UnitText is text without spaces.
	UnitText Unit = "text"
	// UnitAddress is an IP address and a port.
	UnitAddress Unit = "ip:port"
	// UnitKeys is a list of public keys, NAME:BASE64,NAME:BASE64.
	UnitKeys Unit = "keys"
	// UnitCount is an integer.
	UnitCount Unit = "count"
	// UnitMilliseconds is an integer number of milliseconds.
	UnitMilliseconds Unit = "ms"
)

// Setting describes one setting: its name, unit, default and bounds.
type Setting struct {
	name         string
	unit         Unit
	defaultValue string
	minimum      int64
	maximum      int64
	required     bool
	description  string
}

// Name returns the setting's name in the INI file and on the command line.
func (setting Setting) Name() string { return setting.name }

// Unit returns the unit of the value.
func (setting Setting) Unit() Unit { return setting.unit }

// Default returns the value that is used if none is set.
func (setting Setting) Default() string { return setting.defaultValue }

// Description returns the help text of the setting.
func (setting Setting) Description() string { return setting.description }

// Table returns all settings of an entry instance.
func Table() []Setting {
	return []Setting{
		{name: "failure-domain", unit: UnitText, required: true, description: "Failure domain that this instance is in."},
		{name: "instance", unit: UnitText, required: true, description: "Name of this instance, unique in its failure domain."},
		{name: "listen", unit: UnitAddress, defaultValue: "127.0.0.1:8480", description: "Address on which callers, operators and peers are served."},
		{name: "log", unit: UnitAddress, required: true, description: "Address of the platform's log service."},
		{name: "bundle-keys", unit: UnitKeys, required: true, description: "Public keys of the operators who may sign bundles, as NAME:KEY,NAME:KEY."},
		{name: "list", unit: UnitAddress, description: "Address of the platform's instance list; without it, the instance has no peers in its failure domain."},
		{name: "advertise", unit: UnitAddress, description: "Address at which the other instances reach this one; defaults to the address that it listens on."},
		{name: "retention", unit: UnitMilliseconds, defaultValue: "600000", minimum: 1000, maximum: (24 * time.Hour).Milliseconds(), description: "How long answers are kept, and the interval of view renewals."},
		{name: "max-records", unit: UnitCount, defaultValue: "1000000", minimum: 1000, maximum: 100_000_000, description: "Maximum number of start records; above it, new jobs are refused."},
		{name: "max-answer-bytes", unit: UnitCount, defaultValue: "268435456", minimum: 1 << 20, maximum: 1 << 40, description: "Maximum size of the answers kept for resubmissions, in bytes; above it, the oldest are dropped and answered as lost."},
		{name: "stop-timeout", unit: UnitMilliseconds, defaultValue: "30000", minimum: 100, maximum: (10 * time.Minute).Milliseconds(), description: "Maximum duration of a planned stop."},
		{name: "balancer-wait", unit: UnitMilliseconds, defaultValue: "5000", minimum: 0, maximum: (5 * time.Minute).Milliseconds(), description: "How long a stopping instance keeps serving while it is not ready, so that the balancer notices."},
		{name: "max-body-bytes", unit: UnitCount, defaultValue: "4194304", minimum: 1024, maximum: 64 << 20, description: "Maximum size of a request body, in bytes."},
	}
}

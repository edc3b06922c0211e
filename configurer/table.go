package configurer

import "time"

// Unit says how the value of a setting is read.
type Unit string

// Units of settings.
const (
	// UnitText is any text.
	UnitText Unit = "text"
	// UnitAddress is an IP number and a port.
	UnitAddress Unit = "ip:port"
	// UnitKeys is a list of public keys, NAME:BASE64,NAME:BASE64.
	UnitKeys Unit = "keys"
	// UnitCount is a whole number.
	UnitCount Unit = "count"
	// UnitMilliseconds is a whole number of milliseconds.
	UnitMilliseconds Unit = "ms"
)

// Setting is one row of the table of settings.
type Setting struct {
	name     string
	unit     Unit
	fallback string
	low      int64
	high     int64
	required bool
	text     string
}

// Name returns the setting's name in the INI file and on the command line.
func (setting Setting) Name() string { return setting.name }

// Unit returns how the value is read.
func (setting Setting) Unit() Unit { return setting.unit }

// Default returns the value used when none is given.
func (setting Setting) Default() string { return setting.fallback }

// Description returns a sentence that explains the setting.
func (setting Setting) Description() string { return setting.text }

// Table returns all settings of an entry instance.
func Table() []Setting {
	return []Setting{
		{name: "failure-domain", unit: UnitText, required: true, text: "Failure domain that this instance is in."},
		{name: "instance", unit: UnitText, required: true, text: "Name of this instance, unique in its failure domain."},
		{name: "listen", unit: UnitAddress, fallback: "127.0.0.1:8480", text: "Address to serve callers, operators and peers on."},
		{name: "log", unit: UnitAddress, required: true, text: "Address of the platform's log service."},
		{name: "bundle-keys", unit: UnitKeys, required: true, text: "Public keys of the operators who may sign bundles, as NAME:KEY,NAME:KEY."},
		{name: "list", unit: UnitAddress, text: "Address of the platform's instance list; without it the instance is alone in its failure domain."},
		{name: "advertise", unit: UnitAddress, text: "Address under which the other instances reach this one; the default is the one that it listens on."},
		{name: "retention", unit: UnitMilliseconds, fallback: "600000", low: 1000, high: (24 * time.Hour).Milliseconds(), text: "Time for which answers are kept, and interval of view renewals."},
		{name: "max-records", unit: UnitCount, fallback: "1000000", low: 1000, high: 100_000_000, text: "Start records kept at most; above that, new jobs are refused."},
		{name: "max-answer-bytes", unit: UnitCount, fallback: "268435456", low: 1 << 20, high: 1 << 40, text: "Answers kept for resubmissions, in bytes; beyond it the oldest are dropped and answered as lost."},
		{name: "stop-timeout", unit: UnitMilliseconds, fallback: "30000", low: 100, high: (10 * time.Minute).Milliseconds(), text: "Time that a planned stop may take."},
		{name: "balancer-wait", unit: UnitMilliseconds, fallback: "5000", low: 0, high: (5 * time.Minute).Milliseconds(), text: "Time that a stopping instance serves on while it is not ready, so that the balancer sees it."},
		{name: "max-body-bytes", unit: UnitCount, fallback: "4194304", low: 1024, high: 64 << 20, text: "Largest request body, in bytes."},
	}
}

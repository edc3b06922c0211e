// Package configurer defines the settings of an entry instance and reads them
// from flags, environment variables and an INI file, in this order of precedence.
package configurer

// Package configurer holds the one table of settings of an entry instance and
// reads them from flags, environment and an INI file, in this order of precedence.
package configurer

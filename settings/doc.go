// Package settings loads a program's YAML settings file over its defaults, validates it, and reports all errors at once, each
// with its line and field.
package settings

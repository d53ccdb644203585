// Package tablefile reads and writes configuration rows as CSV and YAML files, which operators keep in spreadsheets and
// version control.
package tablefile

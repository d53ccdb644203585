// Package tablefile reads and writes rows as CSV and YAML, as operators keep them in spreadsheets and version control.
package tablefile

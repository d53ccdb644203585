// Package tablefile reads and writes the rows of the platform's table as CSV and YAML files, the forms in which
// operators keep them in spreadsheets and version control.
package tablefile

// Package cli is the operators' tool: the table worked like a spreadsheet and from declarations in version control,
// and what the nodes report back.
package cli

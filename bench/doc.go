// Package bench measures the running nodes and prints one line a figure: "measure NAME VALUE UNIT".
package bench

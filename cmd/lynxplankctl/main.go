// Command lynxplankctl is the operators' tool.
package main

import (
	"os"

	"github.com/lynxplank/lynxplank/cli"
	"github.com/lynxplank/lynxplank/outbound"
)

func main() {
	outbound.Tune()
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}

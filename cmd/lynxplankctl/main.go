// Command lynxplankctl is the operators' tool.
package main

import (
	"os"

	"github.com/lynxplank/lynxplank/cli"
	"github.com/lynxplank/lynxplank/httpclient"
)

func main() {
	httpclient.Tune()
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}

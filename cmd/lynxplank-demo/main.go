// Command lynxplank-demo runs a small fleet on loopback, lets it fail and shows what happened to every request.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/lynxplank/lynxplank/demo"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	flag.Parse()
	if err := demo.Run(*bin, os.Stdout); err != nil {
		fmt.Println(err)
		fmt.Println("demo: failed")
		os.Exit(1)
	}
	fmt.Println("demo: ok")
}

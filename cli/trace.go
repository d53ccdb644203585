package cli

import (
	"flag"
	"io"
	"os"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/trace"
)

// stdin is the name that stands for standard input among the files.
const stdin = "-"

func traceCommands() []command {
	return []command{{
		name: "trace", args: "ID [LOG...]", offline: true,
		help: "what became of a request, from the nodes' logs (files, or standard input)",
		run:  traceRequest,
	}}
}

func traceRequest(a *app, f *flag.FlagSet) error {
	if f.NArg() == 0 {
		return wrongArgs(f)
	}
	files := f.Args()[1:]
	if len(files) == 0 {
		files = []string{stdin}
	}
	log := trace.NewLog(f.Arg(0))
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	return log.Story().Print(a.out)
}

func readLog(log *trace.Log, name string) error {
	var in io.Reader = os.Stdin
	if name != stdin {
		file, err := os.Open(name)
		if err != nil {
			return fault.Wrap(err, fault.BadUsage, name, "log cannot be opened")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	if err := log.Read(in); err != nil {
		return fault.Wrap(err, fault.CodeOf(err), name, "log cannot be read")
	}
	return nil
}

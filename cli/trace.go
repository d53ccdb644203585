package cli

import (
	"flag"
	"io"
	"os"
	"time"

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
	}, {
		name: "losses", args: "[LOG...]", offline: true,
		help: "which requests were not served, by cause, service and hall, from the logs of all nodes",
		run:  reportLosses,
	}, {
		name: "sends", args: "[-window 10s] [LOG...]", offline: true,
		help: "what was sent further than once to each service's endpoints, and in its worst window, from the logs of all nodes",
		run:  reportSends,
		flags: func(f *flag.FlagSet) {
			f.Duration(windowFlag, usualWindow, "the window over which a service's retries are counted")
		},
	}, {
		name: "slots", args: "[-window 2s] [LOG...]", offline: true,
		help: "what the slots of each service's endpoints were used for, by window, from the logs of all nodes",
		run:  reportSlots,
		flags: func(f *flag.FlagSet) {
			f.Duration(windowFlag, usualSlotWindow, "the window over which the numbers of slots are averaged")
		},
	}}
}

const (
	windowFlag = "window"
	// usualWindow is that of the nodes' settings where they name none.
	usualWindow = 10 * time.Second
	// usualSlotWindow is the time between two lines of a node on the slots of an endpoint.
	usualSlotWindow = 2 * time.Second
)

// windowOf returns the window that the command names.
func windowOf(f *flag.FlagSet) (time.Duration, error) {
	window, err := time.ParseDuration(f.Lookup(windowFlag).Value.String())
	if err != nil || window <= 0 {
		return 0, fault.New(fault.BadUsage, "-"+windowFlag, "want a time above 0")
	}
	return window, nil
}

// minSlotWindow bounds the number of windows that one line of a log is spread over.
const minSlotWindow = 10 * time.Millisecond

func reportSlots(a *app, f *flag.FlagSet) error {
	window, err := windowOf(f)
	if err != nil {
		return err
	}
	if window < minSlotWindow {
		return fault.New(fault.BadUsage, "-"+windowFlag, "want at least "+minSlotWindow.String())
	}
	slots := trace.NewSlots(window)
	if err := readLogs(slots, f.Args()); err != nil {
		return err
	}
	return slots.Print(a.out)
}

func reportSends(a *app, f *flag.FlagSet) error {
	window, err := windowOf(f)
	if err != nil {
		return err
	}
	sends := trace.NewSends()
	if err := readLogs(sends, f.Args()); err != nil {
		return err
	}
	return sends.Print(a.out, window)
}

func reportLosses(a *app, f *flag.FlagSet) error {
	losses := trace.NewLosses()
	if err := readLogs(losses, f.Args()); err != nil {
		return err
	}
	return losses.Print(a.out)
}

func traceRequest(a *app, f *flag.FlagSet) error {
	if f.NArg() == 0 {
		return wrongArgs(f)
	}
	log := trace.NewLog(f.Arg(0))
	if err := readLogs(log, f.Args()[1:]); err != nil {
		return err
	}
	return log.Story().Print(a.out)
}

// logReader takes nodes' logs.
type logReader interface {
	Read(r io.Reader) error
}

// readLogs has a log or a report take some files, standard input for none.
func readLogs(log logReader, files []string) error {
	if len(files) == 0 {
		files = []string{stdin}
	}
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(log logReader, name string) error {
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

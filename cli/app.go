package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/uuid"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/settings"
)

// The exit codes, by what a program that calls the tool should do next.
const (
	// ExitOK is success.
	ExitOK = 0
	// ExitFailed is any failure without a code of its own.
	ExitFailed = 1
	// ExitUsage is a wrong command line, settings file or row: mend it.
	ExitUsage = 2
	// ExitConflict is a row that changed meanwhile: read again.
	ExitConflict = 3
	// ExitUnknown is a change that may or may not be accepted: ask with its id.
	ExitUnknown = 4
	// ExitUnavailable is a platform or node that does not answer: nothing was changed, try later.
	ExitUnavailable = 5
	// ExitDiffers is a diff that found differences.
	ExitDiffers = 6
)

// configEnv names the settings file when no flag does.
const configEnv = "LYNXPLANKCTL_CONFIG"

// app is one run of the tool.
type app struct {
	ctx    context.Context //nolint:containedctx // one run of a program
	out    io.Writer
	cfg    settings.Ctl
	format string
	reader *changes.Reader
	writer *changes.Writer
	table  *platform.Client
}

// command is one subcommand.
type command struct {
	name  string
	args  string
	help  string
	run   func(a *app, f *flag.FlagSet) error
	flags func(f *flag.FlagSet)
	// offline commands need no settings and speak to nobody.
	offline bool
}

func commands() []command {
	return slices.Concat(rowCommands(), fileCommands(), intentCommands(), hallCommands(), reportCommands(), fatalCommands(), traceCommands())
}

// Main runs the tool with its arguments and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	global := flag.NewFlagSet("lynxplankctl", flag.ContinueOnError)
	global.SetOutput(errOut)
	path := global.String("config", os.Getenv(configEnv), "settings file, or $"+configEnv)
	format := global.String("o", "table", "output: table, json, csv or yaml")
	global.Usage = func() { usage(errOut, global) }
	if err := global.Parse(args); err != nil {
		return usageExit(err)
	}
	if global.NArg() == 0 {
		global.Usage()
		return ExitUsage
	}
	c, ok := find(global.Arg(0))
	if !ok {
		fmt.Fprintf(errOut, "no such command %q; see lynxplankctl -help\n", global.Arg(0))
		return ExitUsage
	}
	err := runCommand(c, global.Args()[1:], *path, *format, out, errOut)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errOut, err)
	}
	return exitCode(err)
}

func find(name string) (command, bool) {
	all := commands()
	i := slices.IndexFunc(all, func(c command) bool { return c.name == name })
	if i < 0 {
		return command{}, false
	}
	return all[i], true
}

func runCommand(c command, args []string, path, format string, out, errOut io.Writer) error {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(errOut)
	f.Usage = func() {
		fmt.Fprintf(errOut, "lynxplankctl %s %s\n  %s\n", c.name, c.args, c.help)
		f.PrintDefaults()
	}
	f.StringVar(&format, "o", format, "output: table, json, csv or yaml")
	if c.flags != nil {
		c.flags(f)
	}
	if err := f.Parse(leadWithFlags(args)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fault.Wrap(err, fault.BadUsage, c.name, "wrong flag")
	}
	if !slices.Contains([]string{"table", "json", "csv", "yaml"}, format) {
		return fault.New(fault.BadUsage, "-o", "want table, json, csv or yaml")
	}
	if c.offline {
		return c.run(&app{ctx: context.Background(), out: out, format: format}, f)
	}
	a, err := newApp(path, format, out, errOut)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.Platform.Patience.Std())
	defer cancel()
	a.ctx = ctx
	return c.run(a, f)
}

// leadWithFlags lets flags stand behind the arguments, as people write them.
func leadWithFlags(args []string) []string {
	var flags, rest []string
	for i := 0; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") {
			rest = append(rest, args[i])
			continue
		}
		flags = append(flags, args[i])
		if takesValue(args[i]) && i+1 < len(args) {
			i++
			flags = append(flags, args[i])
		}
	}
	return slices.Concat(flags, rest)
}

func takesValue(arg string) bool {
	name := strings.TrimLeft(arg, "-")
	return !strings.Contains(name, "=") && slices.Contains([]string{"o", "source", "op", "kind", "version"}, name)
}

func newApp(path, format string, out, errOut io.Writer) (*app, error) {
	cfg := settings.DefaultCtl()
	if path == "" {
		path = "lynxplankctl.yaml"
	}
	if err := settings.Load(path, &cfg); err != nil {
		return nil, err
	}
	client := platform.NewClient(cfg.Platform.Address.String(),
		platform.WithToken(string(cfg.Platform.Token)), platform.WithTimeout(cfg.Platform.Timeout.Std()))
	leftOut := func(key string, err error) { fmt.Fprintf(errOut, "left out: %s: %v\n", key, err) }
	return &app{
		out: out, cfg: cfg, format: format, table: client,
		reader: changes.NewReader(client, changes.WithSkipHandler(leftOut)), writer: changes.NewWriter(client),
	}, nil
}

// accept gets a change accepted and says at which revision.
func (a *app) accept(op, source string, edits []changes.Edit) error {
	if len(edits) == 0 {
		fmt.Fprintln(a.out, "nothing to change")
		return nil
	}
	if op == "" {
		op = uuid.NewString()
	}
	if err := a.checkPlaces(edits); err != nil {
		return err
	}
	revision, err := a.writer.Accept(a.ctx, changes.Change{Op: op, Author: a.cfg.Author, Source: source, Edits: edits})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "accepted revision %d (%d rows, operation %s)\n", revision, len(edits), op)
	return nil
}

func usage(w io.Writer, global *flag.FlagSet) {
	fmt.Fprintln(w, "lynxplankctl [-config FILE] [-o FORMAT] COMMAND [ARGUMENTS]")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-9s %-34s %s\n", c.name, c.args, c.help)
	}
	global.PrintDefaults()
	fmt.Fprintln(w, "exit codes: 0 ok, 1 failed, 2 usage or bad input, 3 conflict, 4 outcome unknown, 5 unavailable, 6 differs")
}

func usageExit(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return ExitUsage
}

func exitCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	switch fault.CodeOf(err) {
	case "":
		return ExitOK
	case fault.BadUsage, fault.BadRow, fault.BadSetting, fault.UnknownName:
		return ExitUsage
	case fault.Conflict:
		return ExitConflict
	case fault.OutcomeUnknown:
		return ExitUnknown
	case fault.Unavailable:
		return ExitUnavailable
	case codeDiffers:
		return ExitDiffers
	}
	return ExitFailed
}

// codeDiffers is how a diff tells its exit code.
const codeDiffers fault.Code = "differs"

func wrongArgs(f *flag.FlagSet) error {
	f.Usage()
	return fault.New(fault.BadUsage, f.Name(), "wrong arguments")
}

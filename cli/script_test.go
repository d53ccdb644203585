package cli_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lynxplank/lynxplank/cli"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/httpclient"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// TestMain lets the scripts run the tool itself.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lynxplankctl": func() {
			httpclient.Tune()
			os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

type storeKey struct{}

// TestScripts runs the scripts of testdata against a platform stand-in of their own. Besides testscript's commands:
//
//	platform up|down|lose N     switch the stand-in
//	exits N lynxplankctl ...    run the tool and want this exit code
//	announced HOST HALL         write, as its node does, that a host stands in a hall
//	ended CONTENT SERVICE E...  write, as nodes do, that these endpoints ended under a content
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			s := store.New()
			env.Values[storeKey{}] = s
			return startPlatform(env, s)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform":  switchPlatform,
			"exits":     exits,
			"ended":     ended,
			"announced": announced,
		},
	})
}

func startPlatform(env *testscript.Env, s *store.Store) error {
	ports, err := demo.FreePorts(1)
	if err != nil {
		return err
	}
	address := ports[0]
	server := store.NewServer(s, netip.MustParseAddrPort(address))
	if err := server.Start(context.Background()); err != nil {
		return err
	}
	env.Defer(func() { _ = server.Stop(context.Background()) })
	text := fmt.Sprintf("author: tester\nplatform: {address: %q, patience: 300ms}\nnodes: [%q]\ntoken: t\n", address, address)
	path := filepath.Join(env.WorkDir, "ctl.yaml")
	env.Setenv("LYNXPLANKCTL_CONFIG", path)
	return os.WriteFile(path, []byte(text), 0o600)
}

func switchPlatform(ts *testscript.TestScript, _ bool, args []string) {
	s, _ := ts.Value(storeKey{}).(*store.Store)
	f := store.Faults{}
	switch args[0] {
	case "down":
		f.Down = true
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		f.LoseReplies = n
	}
	s.SetFaults(f)
}

func ended(ts *testscript.TestScript, _ bool, args []string) {
	s, _ := ts.Value(storeKey{}).(*store.Store)
	value, err := poison.Encode(poison.WithCrashes(table.PoisonRequest{}, args[1], args[2:], time.Now()))
	ts.Check(err)
	_, err = store.NewLocal(s).Commit(context.Background(), platform.Txn{
		Writes: []platform.Write{{Key: poison.KeyPrefix + args[0], Value: value}},
	})
	ts.Check(err)
}

func announced(ts *testscript.TestScript, _ bool, args []string) {
	s, _ := ts.Value(storeKey{}).(*store.Store)
	value, err := json.Marshal(table.HostInfo{ID: args[0], Hall: args[1], Address: "127.0.0.1:1"})
	ts.Check(err)
	_, err = store.NewLocal(s).Commit(context.Background(), platform.Txn{
		Writes: []platform.Write{{Key: configsync.HostPrefix + args[0], Value: value}},
	})
	ts.Check(err)
}

func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = fmt.Sprint(err)
	}
	want := args[0]
	if want != "0" {
		want = "exit status " + want
	}
	if got != want {
		ts.Fatalf("exit: got %s, want %s", got, want)
	}
}

package routes

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/review/fleet"
)

var root string

// TestMain builds the node as the deploy file does, in a folder of its own.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "lynxplank-routes-")
		if err != nil {
			fmt.Println(err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if err := os.CopyFS(filepath.Join(dir, "deploy"), os.DirFS("../../deploy")); err != nil {
			fmt.Println(err)
			return 1
		}
		build := exec.Command("go", "build", "-o", filepath.Join(dir, "target")+"/", "../../cmd/lynxplankd")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Println(string(out))
			return 1
		}
		root = dir
		return m.Run()
	}())
}

// site returns the places of a deployment of two services in three zones.
func site(machines int) []fleet.Place {
	zones := []string{"silom", "bangna", "nonthaburi"}
	places := make([]fleet.Place, machines)
	for i := range places {
		places[i] = fleet.Place{Zone: zones[i%len(zones)], Service: []string{fleet.DocketDesk, fleet.DocketDesk, fleet.FilingHub}[i/len(zones)%3]}
	}
	return places
}

// TestRoutesOfOperatorsAreInForce guards against a node that routes by a configuration of the platform's operators that was replaced
// more than 2 s ago, refuses a route that was added, or goes back to an older configuration.
func TestRoutesOfOperatorsAreInForce(t *testing.T) {
	seed, seconds, machines := uint64(1), 12, 7
	if s, err := strconv.ParseUint(os.Getenv("ROUTES_SEED"), 10, 64); err == nil {
		seed = s
	}
	if s, err := strconv.Atoi(os.Getenv("ROUTES_SECONDS")); err == nil {
		seconds = s
	}
	if s, err := strconv.Atoi(os.Getenv("ROUTES_MACHINES")); err == nil {
		machines = s
	}
	dir := t.TempDir()
	if d := os.Getenv("ROUTES_DIR"); d != "" {
		dir = d
	}
	v, err := Run(Config{Root: root, Dir: dir, Seed: seed, Places: site(machines), Length: time.Duration(seconds) * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, %d nodes: %d requests judged, %d excused, older configuration used until %v after the next was acknowledged", seed, machines, v.judged, v.excused, v.latest)
	for _, b := range v.broken {
		t.Error(b)
	}
	if v.judged < 100*seconds {
		t.Errorf("requests judged: got %d, want at least %d", v.judged, 100*seconds)
	}
}

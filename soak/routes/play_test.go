package routes

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/review/fleet"
)

// The flags of a play by hand.
var (
	seed     = flag.Uint64("seed", 0, "seed of a play by hand; 0 for those of testdata/plays")
	length   = flag.Duration("length", 12*time.Second, "time in which disturbances and changes begin")
	machines = flag.Int("machines", 7, "number of machines")
	zones    = flag.Int("zones", 3, "number of zones, at most 3")
	calm     = flag.Bool("calm", false, "leave out the disturbances")
	dir      = flag.String("dir", "", "folder for the settings and logs, kept; empty for a temporary one")
)

// leastJudged is how many requests a second must be judged at least.
const leastJudged = 100

// root is the folder with the built node and the deploy files.
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

// site returns the places of a deployment of two services in some zones.
func site(machines, halls int) []fleet.Place {
	zones := []string{"silom", "bangna", "nonthaburi"}[:halls]
	places := make([]fleet.Place, machines)
	for i := range places {
		places[i] = fleet.Place{Zone: zones[i%len(zones)], Service: []string{fleet.DocketDesk, fleet.DocketDesk, fleet.FilingHub}[i/len(zones)%3]}
	}
	return places
}

// TestRoutesOfOperatorsAreInForce guards against a node that routes by a configuration of the platform's operators that was replaced
// more than 2 s ago, refuses a route that was added, or goes back to an older configuration. It makes the plays of testdata/plays, or
// the one that the flags name.
func TestRoutesOfOperatorsAreInForce(t *testing.T) {
	if *seed != 0 {
		makePlay(t, Config{Seed: *seed, Places: site(*machines, *zones), Length: *length, Calm: *calm})
		return
	}
	text, err := os.ReadFile("testdata/plays")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var seed uint64
		var machines, zones, seconds int
		if _, err := fmt.Sscan(line, &seed, &machines, &zones, &seconds); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			makePlay(t, Config{Seed: seed, Places: site(machines, zones), Length: time.Duration(seconds) * time.Second})
		})
	}
}

// makePlay makes one play and wants nothing broken.
func makePlay(t *testing.T, cfg Config) {
	t.Helper()
	cfg.Root, cfg.Dir = root, cmp.Or(*dir, t.TempDir())
	v, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, %d nodes: %d requests judged, %d excused, older configuration used until %v after the next was acknowledged",
		cfg.Seed, len(cfg.Places), v.judged, v.excused, v.latest)
	for _, b := range v.broken {
		t.Error(b)
	}
	if got, want := v.judged, leastJudged*int(cfg.Length.Seconds()); got < want {
		t.Errorf("requests judged: got %d, want at least %d", got, want)
	}
}

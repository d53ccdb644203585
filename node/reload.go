package node

import (
	"reflect"
	"strings"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/settings"
)

// Reload takes the settings file as it is now. The level of the log changes at once; what else has changed is named in
// the log and waits for a restart. A file that is not valid changes nothing.
func (n *Node) Reload(cfg settings.Daemon, loadErr error) {
	if loadErr != nil {
		if text := loadErr.Error(); text != n.badReload {
			n.badReload = text
			events.ReloadFailed.Log(n.log).Err(loadErr).Send()
		}
		return
	}
	n.badReload = ""
	if reflect.DeepEqual(cfg, n.seen) {
		return
	}
	applied, waiting := n.apply(cfg)
	n.seen = cfg
	events.Reloaded.Log(n.log).Strs("applied", applied).Strs("waiting", waiting).Send()
}

func (n *Node) apply(cfg settings.Daemon) (applied, waiting []string) {
	if level, err := zerolog.ParseLevel(cfg.Log.Level); err == nil && cfg.Log != n.seen.Log {
		n.level.Store(int32(level))
		applied = append(applied, "log")
	}
	before, after := reflect.ValueOf(n.cfg), reflect.ValueOf(cfg)
	for i := range before.NumField() {
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "log" && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			waiting = append(waiting, name)
		}
	}
	return applied, waiting
}

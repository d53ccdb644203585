package node

import (
	"reflect"
	"strings"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/settings"
)

// Reload applies the newly read settings cfg, or logs loadErr if the file was not valid; such a file changes nothing. The
// log level changes at once. Other changed sections are listed in the log and take effect at the next restart.
func (n *Node) Reload(cfg settings.Daemon, loadErr error) {
	if loadErr != nil {
		if text := loadErr.Error(); text != n.reloadError {
			n.reloadError = text
			events.ReloadFailed.Log(n.log).Err(loadErr).Send()
		}
		return
	}
	n.reloadError = ""
	if reflect.DeepEqual(cfg, n.lastRead) {
		return
	}
	applied, waiting := n.apply(cfg)
	n.lastRead = cfg
	events.Reloaded.Log(n.log).Strs("applied", applied).Strs("waiting", waiting).Send()
}

// apply sets the log level and returns the changed sections: those applied, and those that wait for a restart.
func (n *Node) apply(cfg settings.Daemon) (applied, waiting []string) {
	if level, err := zerolog.ParseLevel(cfg.Log.Level); err == nil && cfg.Log != n.lastRead.Log {
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

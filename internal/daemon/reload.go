package daemon

import (
	"context"
	"os"
	"slices"
	"time"

	"marigoldshunt/internal/settings"
)

// settingsInterval is the time between two looks at the settings file, which may change
// without a signal.
const settingsInterval = 2 * time.Second

// followSettings reads the settings file again when it has changed. Seeds take effect at
// once; everything else needs a restart, and a file that is refused changes nothing.
func (d *Daemon) followSettings(ctx context.Context) error {
	if d.o.SettingsPath == "" {
		return nil
	}
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	// The file may have changed since it was read at the start, so the first look counts as
	// a change.
	var last []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.o.Reload:
			d.log.Info("Settings file is read again on request.")
		case <-tick.C:
		}
		now, err := os.ReadFile(d.o.SettingsPath)
		if err != nil {
			d.log.WithError(err).Debug("Settings file not readable.")
			continue
		}
		if slices.Equal(now, last) {
			continue
		}
		last = now
		d.reload()
	}
}

func (d *Daemon) reload() {
	s, err := settings.Load(d.o.SettingsPath)
	if err != nil {
		d.log.WithError(err).Warn("Changed settings refused. The former ones stay in use.")
		return
	}
	hosts := controlHosts(s)
	if slices.Equal(hosts, *d.role.seeds.Load()) {
		return
	}
	d.role.setSeeds(hosts)
	d.log.WithField("control_hosts", len(hosts)).Info("Settings read again.")
}

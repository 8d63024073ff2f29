package daemon

import (
	"context"
	"os"
	"slices"
	"time"

	"marigoldshunt/internal/settings"
)

// settingsCheckInterval is the time between two checks of the settings file, which may change
// without a signal.
const settingsCheckInterval = 2 * time.Second

// watchSettings reloads the settings file when it has changed. Changed hosts in control_hosts
// or control_seeds take effect at once, all other settings only after a restart. An invalid
// file changes nothing.
func (d *Daemon) watchSettings(ctx context.Context) error {
	if d.opts.SettingsPath == "" {
		return nil
	}
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	// The file may have changed since it was read at the start, so the first check always
	// reloads it.
	var lastContent []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.opts.Reload:
			d.log.Info("Checking the settings file on request.")
		case <-tick.C:
		}
		content, err := os.ReadFile(d.opts.SettingsPath)
		if err != nil {
			d.log.WithError(err).Debug("Failed to read the settings file.")
			continue
		}
		if slices.Equal(content, lastContent) {
			continue
		}
		lastContent = content
		d.reload()
	}
}

func (d *Daemon) reload() {
	s, err := settings.Load(d.opts.SettingsPath)
	if err != nil {
		d.log.WithError(err).Warn("Changed settings are invalid. The previous ones stay in use.")
		return
	}
	previous := d.controlSettings.Load()
	if slices.Equal(s.ControlHosts, previous.ControlHosts) && slices.Equal(s.ControlSeeds, previous.ControlSeeds) {
		return
	}
	d.controlSettings.Store(s)
	d.controlRole.updateControlHosts()
	d.log.WithField("control_hosts", len(controlHosts(s))).Info("Control hosts reloaded from the settings file.")
}

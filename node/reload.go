package node

import (
	"bytes"
	"context"
	"os"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/settings"
)

// reloadInterval is how often the settings file is checked for changes, since
// it may change without a signal.
const reloadInterval = 2 * time.Second

// WatchSettings applies changes of the settings file until ctx ends. A signal
// on hup triggers an immediate reload. A file with findings changes nothing.
func (n *Node) WatchSettings(ctx context.Context, file string, hup <-chan os.Signal) {
	last, err := os.ReadFile(file)
	if err != nil {
		event.NodeFault.Log(n.log).Str("file", file).Err(err).Send()
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hup:
			signalled = true
		}
		data, err := os.ReadFile(file)
		if err != nil {
			event.NodeFault.Log(n.log).Str("file", file).Err(err).Send()
			continue
		}
		if bytes.Equal(data, last) && !signalled {
			continue
		}
		last = data
		n.reload(file)
	}
}

// reload applies the settings that can change in a running process: the store
// address and the seeds.
func (n *Node) reload(file string) {
	updated, findings := settings.LoadNodeFile(file)
	if len(findings) > 0 {
		event.NodeReloaded.Log(n.log).Str("outcome", "kept the old settings").Err(findings).Send()
		return
	}
	storeMoved := updated.StoreAddr != n.cfg.StoreAddr
	if storeMoved {
		n.setStore(updated.StoreAddr)
	}
	n.cfg.StoreAddr = updated.StoreAddr
	n.seedAddrs.Store(&updated.Seeds)
	event.NodeReloaded.Log(n.log).Str("outcome", "applied").Bool("store_moved", storeMoved).Send()
}

package ownerserver

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/settings"
)

// Settings are the contents of the settings file.
type Settings = settings.Settings

// Config configures an instance. Only Settings is required.
type Config struct {
	Settings Settings
	// Log receives the log events. Nil discards them.
	Log *zap.Logger
	// Bootstrap holds RPC addresses of peers to query at startup, in addition
	// to the peers listed by the platform.
	Bootstrap []netip.AddrPort
	// Balancer and Members tune the load balancing and the membership. The
	// limits in Settings take precedence.
	Balancer balancer.Settings
	Members  member.Settings
}

func (c *Config) keys() []keyring.Key {
	keys := make([]keyring.Key, len(c.Settings.Keys))
	for n, k := range c.Settings.Keys {
		keys[n] = keyring.Key{ID: k.ID, Secret: k.Secret[:]}
	}
	return keys
}

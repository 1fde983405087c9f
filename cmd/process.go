package cmd

import (
	"crypto/tls"
	"fmt"
	"net/url"

	"radishpath.example/radishpath/settings"
)

// credentials are the TLS configurations of a process; nil means plain TCP.
type credentials struct {
	client *tls.Config
	server *tls.Config
}

func newCredentials(from settings.TLSSettings) (credentials, error) {
	if !from.Enabled() {
		return credentials{}, nil
	}
	loaded, err := settings.NewCredentials(settings.RealSystem{}, from)
	if err != nil {
		return credentials{}, fmt.Errorf("load credentials: %w", err)
	}
	return credentials{
		client: loaded.Client(),
		server: loaded.Server(),
	}, nil
}

// addresses returns the addresses of nodes.
func addresses(nodes []settings.Node) []string {
	all := make([]string, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, node.Address)
	}
	return all
}

// hostOf returns host:port of a URL that the settings have checked.
func hostOf(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		return address
	}
	return parsed.Host
}

// Package settings parses and validates the INI settings of processes, reports all findings at once and watches the
// settings file for changes.
// docs/configuration.md describes the sections and keys.
//
// # Usage
//
// ParseEntry and ParseAgent perform no I/O. ReadProcess reads the file through a FileSystem:
//
//	entry, err := settings.ReadProcess(settings.NewOSFileSystem(), "entry.ini", settings.ParseEntry)
//	var findings settings.Findings
//	if errors.As(err, &findings) { ... }
//
// Watcher passes on the settings whenever the file changes:
//
//	watcher := settings.NewWatcher(settings.WatcherConfig{Path: "entry.ini", Parse: settings.ParseEntry, ...})
//	err := watcher.Run(ctx)
//
// Credentials loads the certificate files for mutual TLS and reloads them when they change:
//
//	credentials, err := settings.NewCredentials(settings.NewOSFileSystem(), entry.TLS)
//	server := peer.NewServer(peer.ServerConfig{TLS: credentials.ServerConfig()})
//	pool := peer.NewPool(peer.PoolConfig{TLS: credentials.ClientConfig()})
package settings

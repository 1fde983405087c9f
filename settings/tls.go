package settings

import (
	"fmt"

	"radishpath.example/radishpath/inifile"
)

// TLSSettings contains the paths of the PEM files for mutual TLS between processes. All are empty if TLS is disabled.
type TLSSettings struct {
	Certificate   string
	Key           string
	CACertificate string
}

// Enabled reports whether TLS is configured.
func (t TLSSettings) Enabled() bool {
	return t.Certificate != ""
}

// ReadTLS reads the [tls] section of a file and ignores other sections.
func ReadTLS(files FileSystem, path string) (TLSSettings, error) {
	text, err := files.ReadFile(path)
	if err != nil {
		return TLSSettings{}, fmt.Errorf("credentials: %w", err)
	}
	file := inifile.Parse(path, text)
	parsed := readTLS(file)
	return parsed, file.Err()
}

func readTLS(file *inifile.File) TLSSettings {
	reader := file.Reader(file.FirstSection("tls"))
	parsed := TLSSettings{
		Certificate:   reader.String("certificate", ""),
		Key:           reader.String("key", ""),
		CACertificate: reader.String("authority", ""),
	}
	reader.CheckUnknownKeys()
	if parsed == (TLSSettings{}) {
		return parsed
	}
	for _, key := range []struct {
		name  string
		value string
	}{
		{
			name:  "certificate",
			value: parsed.Certificate,
		},
		{
			name:  "key",
			value: parsed.Key,
		},
		{
			name:  "authority",
			value: parsed.CACertificate,
		},
	} {
		if key.value == "" {
			reader.ReportInvalid(key.name, "is required; TLS needs certificate, key and authority")
		}
	}
	return parsed
}

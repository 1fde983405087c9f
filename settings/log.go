package settings

import "radishpath.example/radishpath/inifile"

// LogSettings configures the logging of a process.
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string
}

func readLog(file *inifile.File) LogSettings {
	reader := file.Reader(file.FirstSection("log"))
	defer reader.CheckUnknownKeys()
	return LogSettings{
		Level: reader.Choice("level", "info", "trace", "debug", "info", "warn", "error"),
	}
}

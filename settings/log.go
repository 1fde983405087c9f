package settings

import "radishpath.example/radishpath/inifile"

// LogSettings say what a process logs.
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
	// Decisions is the path of the decision trace, empty for none.
	Decisions string
}

func readLog(file *inifile.File) LogSettings {
	reader := file.Reader(file.First("log"))
	defer reader.Finish()
	return LogSettings{
		Level:     reader.Choice("level", "info", "trace", "debug", "info", "warn", "error"),
		Format:    reader.Choice("format", "text", "text", "json"),
		Decisions: reader.String("decisions", ""),
	}
}

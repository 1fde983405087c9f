package settings

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"radishpath.example/radishpath/inifile"
)

// LogSettings say what a process logs.
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
	// Decisions is the path of the decision trace, empty for none.
	Decisions string
}

// NewLogger returns the logger of a process that writes to w.
func (l LogSettings) NewLogger(name string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.Format == "json",
		Output:     w,
	})
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

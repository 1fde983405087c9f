package settings

import "radishpath.example/radishpath/inifile"

// Finding is one fault in a settings file, with its file, section, key and line.
type Finding = inifile.Finding

// Findings lists all faults of a settings file.
type Findings = inifile.Findings

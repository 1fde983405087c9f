package settings

import "radishpath.example/radishpath/inifile"

// Finding is one fault with its file, section, key and line.
type Finding = inifile.Finding

// Findings are all faults of a settings file.
type Findings = inifile.Findings

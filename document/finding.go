package document

import "radishpath.example/radishpath/inifile"

// Finding is one fault with its file, section, key and line.
type Finding = inifile.Finding

// Findings are all faults of a document.
type Findings = inifile.Findings

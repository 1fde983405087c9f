// Package inifile parses INI text, records the line of every section and key, and reports all faults of a text at once.
// It is used for the operators' document and for the settings of processes.
//
// The format is one key per line, `key = value`, in sections `[kind]` or `[kind "name"]`. Comments start with # or ;
// at the beginning of a line or after a value and a space. Values cannot span several lines.
//
// # Usage
//
//	file := inifile.Parse("document.ini", text)
//	for _, section := range file.Sections {
//		reader := file.Reader(section)
//		share := reader.Int("share", 1, 1, 1000)
//		reader.CheckUnknownKeys()
//	}
//	if err := file.Err(); err != nil {
//		return err
//	}
//
// For a missing or invalid key a Reader returns the default value, so that reading continues and later faults are found
// too. CheckUnknownKeys reports keys that were never requested and suggests the most similar requested key.
package inifile

// Package inifile reads INI text together with the line of every section and key, and reports all faults of a text at
// once. The operators' document and the settings of the processes share it.
//
// The format is one key per line, `key = value`, in sections `[kind]` or `[kind "name"]`. Comments start with # or ;
// at the beginning of a line, or after a space behind a value. Values do not span lines.
//
// # Usage
//
//	file := inifile.Parse("document.ini", text)
//	for _, section := range file.Sections {
//		reader := file.Reader(section)
//		share := reader.Int("share", 1, 1, 1000)
//		reader.Finish()
//	}
//	if err := file.Err(); err != nil {
//		return err
//	}
//
// A Reader returns the default of a key that is absent or faulty, so that reading continues and later faults are found
// too. Finish reports the keys that nothing asked for, with the nearest key that was asked for.
package inifile

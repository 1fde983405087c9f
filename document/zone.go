package document

// Zone is an availability zone that the document defines.
type Zone struct {
	Name string
	// InService reports whether the zone is in service. In a zone that is out of service no task starts; running tasks
	// finish or move to another zone.
	InService bool
	// Line is the line of the section header.
	Line int
}

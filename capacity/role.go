package main

// role is what a process does in a deployment.
type role string

const (
	roleAgent  role = "agent"
	roleEntry  role = "entry, not placer"
	rolePlacer role = "placer"
	roleLog    role = "log stand-in"
	// The members of a gang that are measured on their own; in a gang on few workers an agent has several roles and
	// counts for the first of them.
	roleRoot  role = "agent of the root member"
	roleInner role = "agent of an inner member"
	roleLeaf  role = "agent of a leaf member"
)

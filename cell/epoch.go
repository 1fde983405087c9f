package cell

// EpochsPerOffset is the size of the range from which a claim at one log offset draws a random epoch, so that
// concurrent claims rarely have the same epoch.
const EpochsPerOffset = 1000

// MaxEpoch is the highest epoch for which a fence token has room.
const MaxEpoch = 1<<43 - 1

// FirstEpoch returns the lowest epoch of a claim that is appended at an offset of the cell's log. The range of each
// offset is above those of all earlier ones, and far below MaxEpoch.
func FirstEpoch(offset int64) int64 {
	return (offset + 1) * EpochsPerOffset
}

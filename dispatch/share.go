package dispatch

// share counts the executors of a zone or a service that were lost at about the same moment.
type share struct {
	lost  int
	total int
}

func (s *share) add(lost bool) {
	s.total++
	if lost {
		s.lost++
	}
}

// isAll reports whether several executors were lost and none is left.
func (s *share) isAll() bool {
	return s.lost > 1 && s.lost == s.total
}

// isMost reports whether several executors were lost and they are the majority.
func (s *share) isMost() bool {
	return s.lost > 1 && 2*s.lost > s.total
}

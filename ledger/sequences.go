package ledger

import "sort"

// span is a closed range of sequences.
type span struct {
	low  uint64
	high uint64
}

// sequences is the set of batch sequences folded from one writer. Batches may appear out of order, so it is kept as
// ranges; a writer without losses needs one.
type sequences struct {
	spans []span
	// last is the offset of the writer's last batch.
	last int64
}

// add reports whether the sequence is new.
func (s *sequences) add(sequence uint64) bool {
	i := s.search(sequence)
	if i < len(s.spans) && s.spans[i].low <= sequence {
		return false
	}
	joinsLeft := i > 0 && s.spans[i-1].high+1 == sequence
	joinsRight := i < len(s.spans) && s.spans[i].low == sequence+1
	switch {
	case joinsLeft && joinsRight:
		s.spans[i-1].high = s.spans[i].high
		s.spans = append(s.spans[:i], s.spans[i+1:]...)
	case joinsLeft:
		s.spans[i-1].high = sequence
	case joinsRight:
		s.spans[i].low = sequence
	default:
		s.spans = append(s.spans, span{})
		copy(s.spans[i+1:], s.spans[i:])
		s.spans[i] = span{
			low:  sequence,
			high: sequence,
		}
	}
	return true
}

// based reports whether the batch before the sequence was folded, so that a carry in this batch may be used.
func (s *sequences) based(sequence uint64) bool {
	return s != nil && sequence > 0 && s.has(sequence-1)
}

func (s *sequences) has(sequence uint64) bool {
	i := s.search(sequence)
	return i < len(s.spans) && s.spans[i].low <= sequence
}

// search returns the index of the first range that ends at or after the sequence.
func (s *sequences) search(sequence uint64) int {
	return sort.Search(len(s.spans), func(i int) bool { return s.spans[i].high >= sequence })
}

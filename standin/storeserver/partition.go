package storeserver

import (
	"bytes"
	"sync"
)

// remembered is how many appends of a producer are answered again as the first time.
const remembered = 5

// record is one keyed record.
type record struct {
	key   string
	value []byte
	raw   []byte
}

// answer is what an append got.
type answer struct {
	status int
	offset int64
	end    int64
	reason string
	seq    int64
}

type producer struct {
	epoch int64
	next  int64
	// answers holds the answers to the last sequence numbers.
	answers map[int64]answer
}

// partition is one log.
type partition struct {
	mu        sync.Mutex
	first     int64
	records   []record
	newest    map[string]int64
	kept      map[string]record
	producers map[string]*producer
	grown     chan struct{}
}

func newPartition() *partition {
	return &partition{
		newest:    map[string]int64{},
		kept:      map[string]record{},
		producers: map[string]*producer{},
		grown:     make(chan struct{}),
	}
}

// append adds records, all or none. at below 0 sets no condition.
func (p *partition) append(records []record, at int64, name string, epoch, seq int64) answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := p.end()
	if name != "" {
		if refused, done := p.admit(name, epoch, seq, len(records) == 0); done {
			return refused
		}
	}
	if at >= 0 && at != end {
		return answer{status: 412, end: end}
	}
	for _, r := range records {
		p.add(r)
	}
	result := answer{
		status: 200,
		offset: end,
		end:    p.end(),
	}
	if name != "" && len(records) > 0 {
		known := p.producers[name]
		known.next = seq + 1
		known.answers[seq] = result
		delete(known.answers, seq-remembered)
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return result
}

// admit checks a producer's epoch and sequence number; done means that nothing is to be appended.
func (p *partition) admit(name string, epoch, seq int64, empty bool) (answer, bool) {
	known, ok := p.producers[name]
	if !ok || epoch > known.epoch {
		if ok || empty || seq >= 0 {
			p.producers[name] = &producer{
				epoch:   epoch,
				next:    seq,
				answers: map[int64]answer{},
			}
		}
		return answer{}, false
	}
	if epoch < known.epoch {
		return answer{status: 409, reason: "fenced"}, true
	}
	if earlier, repeated := known.answers[seq]; repeated {
		return earlier, true
	}
	if seq != known.next {
		return answer{status: 409, reason: "seq", seq: known.next}, true
	}
	return answer{}, false
}

func (p *partition) add(r record) {
	offset := p.end()
	p.records = append(p.records, r)
	if len(r.value) == 0 {
		delete(p.newest, r.key)
		delete(p.kept, r.key)
		return
	}
	p.newest[r.key] = offset
	p.kept[r.key] = r
}

func (p *partition) end() int64 {
	return p.first + int64(len(p.records))
}

// read returns the records from an offset on, or false if they were dropped.
func (p *partition) read(from int64) (body []byte, end, first int64, grown <-chan struct{}, kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from < p.first {
		return nil, p.end(), p.first, p.grown, false
	}
	var buffer bytes.Buffer
	for offset := from; offset < p.end(); offset++ {
		buffer.Write(p.records[offset-p.first].raw)
	}
	return buffer.Bytes(), p.end(), p.first, p.grown, true
}

// forget drops all records but the newest of each key.
func (p *partition) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first = p.end()
	p.records = nil
}

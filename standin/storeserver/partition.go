package storeserver

import (
	"bytes"
	"sync"
)

// maxCachedResults is the number of results per producer that are kept to deduplicate repeated appends.
const maxCachedResults = 5

// record is one record of a log.
type record struct {
	key   string
	value []byte
	// encoded is the record in the wire format, with its length prefix.
	encoded []byte
}

// appendResult is the result of an append, with its HTTP status.
type appendResult struct {
	status int
	offset int64
	end    int64
	reason string
	seq    int64
}

// producerState is the state of a fenced producer.
type producerState struct {
	epoch   int64
	nextSeq int64
	// results holds the results of the last appends, by sequence number.
	results map[int64]appendResult
}

// partition is the log of one topic.
type partition struct {
	mu sync.Mutex
	// firstOffset is the offset of the first retained record.
	firstOffset int64
	records     []record
	// newest is the offset of the newest record of each key.
	newest        map[string]int64
	newestRecords map[string]record
	producers     map[string]*producerState
	// appended is closed and replaced by each append.
	appended chan struct{}
}

func newPartition() *partition {
	return &partition{
		newest:        map[string]int64{},
		newestRecords: map[string]record{},
		producers:     map[string]*producerState{},
		appended:      make(chan struct{}),
	}
}

// append atomically appends records. An expectedEnd of 0 or more makes the append conditional on the end of the log. An
// empty producerName makes it unfenced.
func (p *partition) append(records []record, expectedEnd int64, producerName string, epoch, seq int64) appendResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := p.end()
	if producerName != "" {
		if earlier, done := p.checkProducer(producerName, epoch, seq, len(records) == 0); done {
			return earlier
		}
	}
	if expectedEnd >= 0 && expectedEnd != end {
		return appendResult{status: 412, end: end}
	}
	for _, r := range records {
		p.addRecord(r)
	}
	result := appendResult{
		status: 200,
		offset: end,
		end:    p.end(),
	}
	if producerName != "" && len(records) > 0 {
		state := p.producers[producerName]
		state.nextSeq = seq + 1
		state.results[seq] = result
		delete(state.results, seq-maxCachedResults)
	}
	close(p.appended)
	p.appended = make(chan struct{})
	return result
}

// checkProducer checks the epoch and the sequence number of a fenced append. If it returns true, the append ends with
// the returned result: it is rejected or repeated.
func (p *partition) checkProducer(producerName string, epoch, seq int64, empty bool) (appendResult, bool) {
	state, ok := p.producers[producerName]
	if !ok || epoch > state.epoch {
		if ok || empty || seq >= 0 {
			p.producers[producerName] = &producerState{
				epoch:   epoch,
				nextSeq: seq,
				results: map[int64]appendResult{},
			}
		}
		return appendResult{}, false
	}
	if epoch < state.epoch {
		return appendResult{status: 409, reason: "fenced"}, true
	}
	if earlier, repeated := state.results[seq]; repeated {
		return earlier, true
	}
	if seq != state.nextSeq {
		return appendResult{status: 409, reason: "seq", seq: state.nextSeq}, true
	}
	return appendResult{}, false
}

func (p *partition) addRecord(r record) {
	offset := p.end()
	p.records = append(p.records, r)
	if len(r.value) == 0 {
		delete(p.newest, r.key)
		delete(p.newestRecords, r.key)
		return
	}
	p.newest[r.key] = offset
	p.newestRecords[r.key] = r
}

func (p *partition) end() int64 {
	return p.firstOffset + int64(len(p.records))
}

// read returns the encoded records from an offset on. retained is false if the offset is no longer retained.
func (p *partition) read(from int64) (body []byte, end, firstOffset int64, appended <-chan struct{}, retained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from < p.firstOffset {
		return nil, p.end(), p.firstOffset, p.appended, false
	}
	var buffer bytes.Buffer
	for offset := from; offset < p.end(); offset++ {
		buffer.Write(p.records[offset-p.firstOffset].encoded)
	}
	return buffer.Bytes(), p.end(), p.firstOffset, p.appended, true
}

// compact drops all records of the log except the newest one of each key.
func (p *partition) compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstOffset = p.end()
	p.records = nil
}

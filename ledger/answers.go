package ledger

// answers keeps the bodies of answers up to a number of bytes and drops the oldest first.
type answers struct {
	limit  int
	bytes  int
	bodies map[string][]byte
	// order holds ids from oldest to newest; ids that were forgotten stay until they reach the front.
	order []string
}

func newAnswers(limit int) *answers {
	return &answers{
		limit:  limit,
		bodies: map[string][]byte{},
	}
}

func (a *answers) add(id string, body []byte) {
	if len(body) > a.limit {
		return
	}
	a.forget(id)
	a.bodies[id] = body
	a.bytes += len(body)
	a.order = append(a.order, id)
	for a.bytes > a.limit {
		a.forget(a.order[0])
	}
}

func (a *answers) forget(id string) {
	body, ok := a.bodies[id]
	if !ok {
		return
	}
	a.bytes -= len(body)
	delete(a.bodies, id)
	for len(a.order) > 0 {
		if _, ok = a.bodies[a.order[0]]; ok {
			return
		}
		a.order = a.order[1:]
	}
}

package workerserver

// refusal is the answer to a call that has no effect.
type refusal struct {
	code   int
	reason string
}

func refuse(code int, reason string) *refusal {
	return &refusal{
		code:   code,
		reason: reason,
	}
}

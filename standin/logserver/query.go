package logserver

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"radishpath.example/radishpath/rest"
)

// readQuery is what a read asks for.
type readQuery struct {
	name  string
	from  int64
	limit int
	wait  time.Duration
}

func parseQuery(r *http.Request) (readQuery, error) {
	query := readQuery{
		name:  rest.Variable(r, "name"),
		limit: defaultLimit,
	}
	var err error
	if text := r.FormValue("from"); text != "" {
		if query.from, err = strconv.ParseInt(text, 10, 64); err != nil || query.from < 0 {
			return readQuery{}, badQuery("from", text)
		}
	}
	if text := r.FormValue("limit"); text != "" {
		if query.limit, err = strconv.Atoi(text); err != nil || query.limit < 1 {
			return readQuery{}, badQuery("limit", text)
		}
	}
	if text := r.FormValue("wait"); text != "" {
		if query.wait, err = time.ParseDuration(text); err != nil {
			return readQuery{}, badQuery("wait", text)
		}
	}
	query.wait = min(query.wait, maxWait)
	return query, nil
}

func badQuery(key, value string) error {
	return fmt.Errorf("invalid %s %q", key, value)
}

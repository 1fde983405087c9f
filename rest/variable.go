package rest

import (
	"net/http"
	"net/url"

	"github.com/gorilla/mux"
)

// Variable returns a variable of the route, unescaped. The router must match encoded paths.
func Variable(r *http.Request, name string) string {
	value := mux.Vars(r)[name]
	if plain, err := url.PathUnescape(value); err == nil {
		return plain
	}
	return value
}

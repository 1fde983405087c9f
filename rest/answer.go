package rest

import (
	"encoding/json"
	"net/http"
)

// Answer writes a JSON answer with status 200.
func Answer(w http.ResponseWriter, reply any) {
	text, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

package admin

import (
	"net/http"

	"damaskbridge.example/damaskbridge/problem"
)

// Authenticate gives the operator who presents the request's token, for
// handlers that stand beside the API.
func (o *Operators) Authenticate(r *http.Request) (name string, err error) {
	name, ok := o.find(r.Header.Get("Authorization"))
	if !ok {
		return "", problem.New(problem.Unauthenticated, problem.NotRun, "the token belongs to no operator")
	}
	return name, nil
}

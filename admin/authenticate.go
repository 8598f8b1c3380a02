package admin

import (
	"net/http"

	"damaskbridge.example/damaskbridge/problem"
)

// Authenticate returns the name of the operator whose token the request carries.
// It is for handlers that are served outside of the API. The error is an
// unauthenticated problem.
func (o *Operators) Authenticate(r *http.Request) (name string, err error) {
	name, ok := o.lookupHeader(r.Header.Get("Authorization"))
	if !ok {
		return "", problem.New(problem.Unauthenticated, problem.NotRun, "the token does not belong to an operator")
	}
	return name, nil
}

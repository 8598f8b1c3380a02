package transport

import "strconv"

var methodNames = [...]string{
	MethodRaft:        "raft",
	MethodPropose:     "propose",
	MethodRenew:       "renew",
	MethodAuditAppend: "audit_append",
	MethodAuditQuery:  "audit_query",
	MethodStatus:      "status",
	MethodSnapshot:    "snapshot",
	MethodAdmin:       "admin",
}

// String gives the method's name as used in metrics and logs.
func (m Method) String() string {
	if int(m) < len(methodNames) && methodNames[m] != "" {
		return methodNames[m]
	}
	return "method_" + strconv.Itoa(int(m))
}

package transport

import "strconv"

// methodHello is the first call on each connection. The server responds to it
// without calling the handler.
const methodHello Method = 0

var methodNames = [...]string{
	methodHello:       "hello",
	MethodRaft:        "raft",
	MethodPropose:     "propose",
	MethodRenew:       "renew",
	MethodAuditAppend: "audit_append",
	MethodAuditQuery:  "audit_query",
	MethodStatus:      "status",
	MethodSnapshot:    "snapshot",
	MethodAdmin:       "admin",
	MethodLocate:      "locate",
	MethodDocument:    "document",
	MethodWatch:       "watch",
	MethodRoster:      "roster",
	MethodPieces:      "pieces",
	MethodFreePieces:  "free_pieces",
}

// String returns the method's name as used in metrics and logs.
func (m Method) String() string {
	if int(m) < len(methodNames) && methodNames[m] != "" {
		return methodNames[m]
	}
	return "method_" + strconv.Itoa(int(m))
}
